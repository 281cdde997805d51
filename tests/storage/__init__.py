"""Tests of the mirror of the store."""
