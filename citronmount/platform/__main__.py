"""Runs the process of one VM: ``python -m citronmount.platform``."""

from citronmount.platform import daemon

if __name__ == "__main__":
    daemon.main()
