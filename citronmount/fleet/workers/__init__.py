"""Workers: their directory, sessions, capacity, health and speeds."""
