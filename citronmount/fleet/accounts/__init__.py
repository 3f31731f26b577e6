"""Client accounts: what is guaranteed to them and what they may use."""
