"""Runs the daemon for ``python -m citronmount.service``."""

from citronmount.service import daemon

if __name__ == "__main__":
    daemon.main()
