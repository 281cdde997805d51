"""HTTP messages, server and client."""
