"""The reactor side of a pool's front and owner."""
