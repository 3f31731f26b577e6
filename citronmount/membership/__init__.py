"""Which VMs live and which of them does what."""
