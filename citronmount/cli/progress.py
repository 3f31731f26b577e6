"""Shows progress on standard error if it is a terminal."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import io
import os
import sys
from typing import BinaryIO

import click

__all__ = ["ShowStatus", "open_with_progress", "status_line"]

ShowStatus = Callable[[str], None]


class _CountingFile(io.FileIO):
    """A file that reports the number of bytes of each read."""

    def __init__(self, path: str, on_read: Callable[[int], None]) -> None:
        super().__init__(path)
        self._on_read = on_read

    def readinto(self, buffer: bytearray) -> int | None:
        """Reads into a buffer and reports the number of bytes."""
        count = super().readinto(buffer)
        self._on_read(count or 0)
        return count


@contextlib.contextmanager
def open_with_progress(path: str) -> Iterator[BinaryIO]:
    """Opens a file and shows a progress bar while it is read.

    Args:
        path: The file.

    Yields:
        The open file, in binary mode.
    """
    bar = click.progressbar(
        length=os.stat(path).st_size,
        label=os.path.basename(path),
        file=sys.stderr,
        hidden=not sys.stderr.isatty(),
    )
    with bar, io.BufferedReader(_CountingFile(path, bar.update)) as stream:
        yield stream


@contextlib.contextmanager
def status_line() -> Iterator[ShowStatus]:
    """Opens a status line, which is cleared at the end.

    Yields:
        A function that replaces the text of the status line.
    """
    is_terminal = sys.stderr.isatty()

    def show_status(text: str) -> None:
        if is_terminal:
            click.echo(f"\r\x1b[K{text}", err=True, nl=False)

    try:
        yield show_status
    finally:
        show_status("")
