"""The state machine of one VM."""
