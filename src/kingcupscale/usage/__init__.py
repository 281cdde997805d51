"""Counting what organisations use, and reporting each window once."""
