"""Messages between the VMs and the transport that carries them."""
