"""Adapter to the users' platform: names, formats and HTTP calls."""
