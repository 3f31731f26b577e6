"""Messages and transport between VMs."""
