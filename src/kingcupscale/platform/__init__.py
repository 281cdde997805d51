"""Adapter to the platform: all its names, formats and calls are in here."""
