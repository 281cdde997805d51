"""Real node processes under random faults, on one machine."""
