"""Progress of long commands on standard error, if that is a terminal."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import io
import os
import sys
from typing import BinaryIO

import click

__all__ = ["Note", "notes", "reading"]

Note = Callable[[str], None]


class _CountingFile(io.FileIO):
    """A file that tells how many bytes were read from it."""

    def __init__(self, path: str, on_read: Callable[[int], None]) -> None:
        super().__init__(path)
        self._on_read = on_read

    def readinto(self, buffer: bytearray) -> int | None:
        """Reads into a buffer and tells the count."""
        count = super().readinto(buffer)
        self._on_read(count or 0)
        return count


@contextlib.contextmanager
def reading(path: str) -> Iterator[BinaryIO]:
    """Opens a file to be read with a progress bar.

    Args:
        path: The file.

    Yields:
        The open file.
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
def notes() -> Iterator[Note]:
    """Shows the newest of several short notes on one line.

    Yields:
        A function that shows a note.
    """
    shown = sys.stderr.isatty()

    def note(text: str) -> None:
        if shown:
            click.echo(f"\r\x1b[K{text}", err=True, nl=False)

    try:
        yield note
    finally:
        note("")
