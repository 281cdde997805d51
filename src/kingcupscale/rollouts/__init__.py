"""Rollouts for trainers: steps, sample groups and weight versions."""
