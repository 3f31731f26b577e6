"""The Twisted services of one VM of a pool: log reader, job service, owner."""
