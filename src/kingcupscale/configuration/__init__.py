"""Validation, storage and replication of the configuration."""
