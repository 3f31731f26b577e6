"""In-memory stand-ins for the platform's services, for tests and demos."""
