"""Clients of what the platform gives, each behind a Protocol."""
