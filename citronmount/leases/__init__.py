"""State machines of leases and gangs at the targets."""
