"""Reads the job stream of the local failure domain into the job view."""

from collections.abc import Callable

from citronmount.agent import context
from citronmount.clients import messages
from citronmount.state import job_views
from citronmount.state import records

__all__ = ["StreamReader"]

ReadCallback = Callable[[bool], None]


class StreamReader:
    """Folds the job stream into the job view, each record once and in order.

    Calls of `read_to_end` during a read share the following read.

    Attributes:
        listeners: Called with each record read, after it is folded.
    """

    def __init__(
        self, *, ctx: context.Context, job_view: job_views.JobView
    ) -> None:
        """Initializes a reader at the offset of the job view.

        Args:
            ctx: The shared context.
            job_view: The job view that the records are folded into.
        """
        self.listeners: list[Callable[[records.Record], None]] = []
        self._ctx = ctx
        self._job_view = job_view
        self._stream = records.job_stream(ctx.settings.failure_domain)
        self._current_callbacks: list[ReadCallback] = []
        self._next_callbacks: list[ReadCallback] = []

    def read_to_end(self, on_read: ReadCallback) -> None:
        """Reads the job stream to its end.

        Args:
            on_read: Called with True once the end was reached, or with False
                if the log did not answer.
        """
        self._next_callbacks.append(on_read)
        if not self._current_callbacks:
            self._start_next_read()

    def _start_next_read(self) -> None:
        self._current_callbacks = self._next_callbacks
        self._next_callbacks = []
        if self._current_callbacks:
            self._read_page()

    def _read_page(self) -> None:
        self._ctx.read_log(
            self._stream, self._job_view.next_offset, self._on_page_read
        )

    def _on_page_read(self, page: messages.LogPage | None) -> None:
        if page is not None:
            for record in self._job_view.fold_page(page):
                for listener in self.listeners:
                    listener(record)
            if self._job_view.next_offset < page.end and page.records:
                self._read_page()
                return
        callbacks = self._current_callbacks
        self._current_callbacks = []
        for on_read in callbacks:
            on_read(page is not None)
        if not self._current_callbacks:
            self._start_next_read()
