"""A node's process before clients that do not keep to the protocol."""
