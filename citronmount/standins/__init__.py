"""Small stand-ins of the platform's services for tests."""
