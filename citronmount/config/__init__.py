"""Configurations, the CSV sheets that hold them, and pool files."""
