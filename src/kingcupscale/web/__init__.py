"""HTTP as the product uses it: messages, one server, one client."""
