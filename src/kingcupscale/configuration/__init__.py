"""The operators' configuration: checked, decided once, in force everywhere."""
