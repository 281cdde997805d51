"""Benchmarks and fault injection, run as ``python -m bench.NAME --json``."""
