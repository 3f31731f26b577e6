"""Multi-step jobs: their specification, log records and progress."""
