"""Rollouts: steps of sample groups, fresh and whole, for trainers."""
