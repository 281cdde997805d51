"""Serving callers: admission, order of service, routing, retries."""
