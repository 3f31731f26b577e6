"""Decisions of the owner of a whole pool; no input or output, no clock."""
