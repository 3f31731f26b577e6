"""State machine of gangs that run under leases at targets."""
