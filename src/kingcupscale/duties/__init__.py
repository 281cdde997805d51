"""Duties that one node performs at a time: leases, fencing and journals."""
