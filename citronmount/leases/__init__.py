"""State machine of gangs that run on workers under leases."""
