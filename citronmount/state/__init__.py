"""Records, durability and recovery."""
