"""Work that one process at a time may do: leases, fencing, journals."""
