"""Loads and checks the settings file of a daemon."""

import os

from citronmount.service import settings as settings_lib
from citronmount.service import settings_faults
from citronmount.service import settings_reader
from citronmount.service import settings_rules

__all__ = ["check", "load"]


def check(
    path: str | os.PathLike[str],
) -> tuple[settings_faults.SettingFault, ...]:
    """Returns every fault of a settings file.

    Args:
        path: The TOML file.

    Returns:
        The faults, sorted by key; empty if the daemon can start.
    """
    return _read(path)[1]


def load(path: str | os.PathLike[str]) -> settings_lib.Settings:
    """Loads the settings of a daemon.

    Args:
        path: The TOML file.

    Returns:
        The validated settings.

    Raises:
        ExceptionGroup: The file has faults; the group holds one
            `settings_faults.SettingError` for each.
    """
    settings, faults = _read(path)
    if settings is None or faults:
        raise ExceptionGroup(
            f"{os.fspath(path)}: {len(faults)} faults",
            [settings_faults.SettingError(fault) for fault in faults],
        )
    return settings


def _read(
    path: str | os.PathLike[str],
) -> tuple[
    settings_lib.Settings | None, tuple[settings_faults.SettingFault, ...]
]:
    settings, faults = settings_reader.read(path, settings_lib.Settings)
    if settings is None:
        return None, faults
    return settings, settings_rules.faults_of(settings, os.fspath(path))
