"""The shared store: its interface, a mirror of its keys, and leases."""
