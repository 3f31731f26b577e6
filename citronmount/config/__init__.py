"""The configuration of accounts and guarantees, and its CSV sheet."""
