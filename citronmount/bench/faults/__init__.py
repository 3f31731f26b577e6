"""The fault matrix: each fault at each step, with checks of properties."""
