"""Failure detection and deterministic assignment of roles to VMs."""
