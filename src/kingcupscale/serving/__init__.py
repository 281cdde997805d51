"""Serves callers: authentication, queueing, routing and retries."""
