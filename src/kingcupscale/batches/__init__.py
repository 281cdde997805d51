"""Batches of rollout items: kept, run, listed once, read from any node."""
