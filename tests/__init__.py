"""Tests, run by ``python -m tests``."""
