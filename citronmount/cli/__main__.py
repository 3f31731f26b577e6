"""Runs the command-line tool as ``python -m citronmount.cli``."""

from citronmount.cli import main

if __name__ == "__main__":
    main.main(prog_name="citronmount")
