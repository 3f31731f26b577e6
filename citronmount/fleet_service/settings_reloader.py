"""Takes in changes of the settings file while the process runs."""

from collections.abc import Callable
import os

import structlog

from citronmount.fleet_service import vm_settings

__all__ = ["SettingsReloader"]


class SettingsReloader:
    """Reads the settings file again, on a signal or when it has changed.

    The address of the log service is taken over at once; other changes are in
    force after the next start of the process, and the log line names them.
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
            load: Reads such a file.
            settings: What it said at the start.
            on_address: Gets a new address of the log service.
        """
        self._path = path
        self._load = load
        self._settings = settings
        self._on_address = on_address
        self._stamp = self._file_stamp()

    def check(self) -> None:
        """Reads the file if it has changed."""
        stamp = self._file_stamp()
        if stamp != self._stamp:
            self._stamp = stamp
            self.reload()

    def reload(self) -> None:
        """Reads the file; one that cannot be read changes nothing."""
        trace = structlog.get_logger()
        try:
            fresh = self._load(self._path)
        except vm_settings.SettingsError as error:
            trace.warning("reload_failed", error=str(error))
            return
        changed = [
            name
            for name in fresh.__struct_fields__
            if getattr(fresh, name) != getattr(self._settings, name)
        ]
        if fresh.log_address != self._settings.log_address:
            self._on_address(fresh.log_address)
        self._settings = fresh
        trace.info("settings_reloaded", changed=changed)

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size
