"""Tests of the store's mirror, leases, locks and relay."""
