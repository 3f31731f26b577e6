"""Metrics, logs and the timeline of events."""
