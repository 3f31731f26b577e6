"""Jobs of several steps: their description, records and progress."""
