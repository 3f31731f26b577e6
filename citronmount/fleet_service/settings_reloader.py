"""Applies changes of the settings file while the process runs."""

from collections.abc import Callable
import os

import structlog

from citronmount.fleet_service import vm_settings

__all__ = ["SettingsReloader"]


class SettingsReloader:
    """Reloads the settings file on a signal or when it has changed.

    A new address of the log service takes effect at once. Other changes need a
    restart of the process; the log line lists the names of all changed
    settings.
    """

    def __init__(
        self,
        *,
        path: str,
        load: Callable[[str], vm_settings.VmSettings],
        settings: vm_settings.VmSettings,
        on_address: Callable[[str], None],
    ) -> None:
        """Initializes with the settings in force.

        Args:
            path: The settings file.
            load: Reads a settings file.
            settings: The settings with which the process started.
            on_address: Called with a new address of the log service.
        """
        self._path = path
        self._load = load
        self._settings = settings
        self._on_address = on_address
        self._stamp = self._file_stamp()

    def check(self) -> None:
        """Reloads the file if its time stamp or size has changed."""
        stamp = self._file_stamp()
        if stamp != self._stamp:
            self._stamp = stamp
            self.reload()

    def reload(self) -> None:
        """Reloads the file; an invalid file leaves the settings as they are."""
        logger = structlog.get_logger()
        try:
            new_settings = self._load(self._path)
        except vm_settings.SettingsError as error:
            logger.warning("reload_failed", error=str(error))
            return
        except Exception:
            logger.exception("reload_failed")
            return
        changed = [
            name
            for name in new_settings.__struct_fields__
            if getattr(new_settings, name) != getattr(self._settings, name)
        ]
        if new_settings.log_address != self._settings.log_address:
            self._on_address(new_settings.log_address)
        self._settings = new_settings
        logger.info("settings_reloaded", changed=changed)

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
