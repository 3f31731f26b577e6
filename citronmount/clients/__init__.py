"""Clients of the log service, the VM list and the targets."""
