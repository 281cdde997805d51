"""Ordering backend servers by availability zone."""
