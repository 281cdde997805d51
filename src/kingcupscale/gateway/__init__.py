"""Calls passed on to backend servers: placement, retries, refusals."""
