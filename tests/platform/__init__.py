"""Tests of the adapter, and of whole nodes behind it."""
