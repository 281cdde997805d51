"""Tests of batches on plain data."""
