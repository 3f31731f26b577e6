"""Scheduling decisions as pure state machines.

Nothing here does input or output or reads a clock: callers pass the time and
carry out the decisions.
"""
