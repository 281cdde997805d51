"""Proxies calls to backend servers: load balancing, retries, rejections."""
