"""The shared key-value store: interface, local mirror, leases and locks."""
