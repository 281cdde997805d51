"""The protocol between nodes, and the membership of the cluster."""
