"""Soak tests: real node processes on one machine, under random faults."""
