"""Scheduling decisions of a pool's owner, without I/O and clock access."""
