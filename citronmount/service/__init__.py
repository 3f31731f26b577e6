"""The daemon of a VM: its HTTP API, settings and I/O around the agent."""
