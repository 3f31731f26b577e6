"""Reads the job stream of the own failure domain into the job book."""

from collections.abc import Callable

from citronmount.agent import context
from citronmount.services import messages
from citronmount.state import job_views
from citronmount.state import records

__all__ = ["StreamReader"]

OnRead = Callable[[bool], None]


class StreamReader:
    """Folds the job stream into the book, each record once and in order.

    Reads that are asked for while one is under way share the next one.
    """

    def __init__(
        self, *, ctx: context.Context, book: job_views.JobView
    ) -> None:
        """Initializes a reader at the book's offset.

        Args:
            ctx: The shared context.
            book: Takes the records.
        """
        self.listeners: list[Callable[[records.Record], None]] = []
        self._ctx = ctx
        self._book = book
        self._stream = records.job_stream(ctx.settings.failure_domain)
        self._reading: list[OnRead] = []
        self._waiting: list[OnRead] = []

    def read_to_end(self, on_read: OnRead) -> None:
        """Reads all that the stream holds from now on.

        Args:
            on_read: Told whether the end was reached; False if the log did
                not answer.
        """
        self._waiting.append(on_read)
        if not self._reading:
            self._begin()

    def _begin(self) -> None:
        self._reading = self._waiting
        self._waiting = []
        if self._reading:
            self._read()

    def _read(self) -> None:
        self._ctx.read_log(self._stream, self._book.next_offset, self._was_read)

    def _was_read(self, page: messages.LogPage | None) -> None:
        if page is not None:
            for record in self._book.fold_page(page):
                for listener in self.listeners:
                    listener(record)
            if self._book.next_offset < page.end and page.records:
                self._read()
                return
        done = self._reading
        self._reading = []
        for on_read in done:
            on_read(page is not None)
        if not self._reading:
            self._begin()
