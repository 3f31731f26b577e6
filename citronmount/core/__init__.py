"""Scheduling decisions without input, output or clock."""
