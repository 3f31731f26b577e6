"""The daemon round the agent."""
