"""What operators and backend servers say of themselves, as nodes see it."""
