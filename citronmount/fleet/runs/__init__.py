"""Runs of units from their placement to their end."""
