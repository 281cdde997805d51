"""Small stand-ins for what surrounds the system, and an in-memory wire."""
