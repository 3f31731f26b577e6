"""Loads every module that registers a bench."""

import importlib

__all__ = ["load_benches"]

_MODULES = (
    "burst",
    "domain_out",
    "failing_workers",
    "hanbit",
    "misdeclared",
    "perchero",
    "two_year",
)


def load_benches() -> None:
    """Imports the modules of all benches, which registers them."""
    for name in _MODULES:
        importlib.import_module(f"citronmount.bench.{name}")
