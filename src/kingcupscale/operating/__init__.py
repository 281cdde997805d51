"""What operators see and do."""
