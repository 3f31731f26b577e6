"""Histograms, logs and the time line."""
