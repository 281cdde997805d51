"""The inner protocol: how the nodes talk and who is among them."""
