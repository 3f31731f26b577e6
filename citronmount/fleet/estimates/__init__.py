"""Estimates of run times."""
