"""Counts what organisations use and reports each usage window once."""
