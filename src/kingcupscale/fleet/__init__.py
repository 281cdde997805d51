"""What a node knows of its environment: configuration, servers, other nodes."""
