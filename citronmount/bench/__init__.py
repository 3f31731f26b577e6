"""Workloads, experiments and fault matrix."""
