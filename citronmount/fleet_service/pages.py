"""Pages about the process itself: whether it is ready, and its metrics."""

from collections.abc import Callable

from twisted.web import http
from twisted.web import resource
from twisted.web import server

from citronmount.telemetry import exposition
from citronmount.telemetry import metrics_registry

__all__ = ["MetricsPage", "ReadyPage"]


class MetricsPage(resource.Resource):
    """Answers every path with all metrics as text."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, metrics: metrics_registry.MetricsRegistry) -> None:
        """Initializes the page.

        Args:
            metrics: What the process measures.
        """
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Returns the metrics of this moment."""
        request.setHeader("content-type", exposition.CONTENT_TYPE)
        return exposition.render(self._metrics.snapshot()).encode("utf-8")


class ReadyPage(resource.Resource):
    """Tells whether the VM should get new connections."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, ready: Callable[[], bool]) -> None:
        """Initializes the resource.

        Args:
            ready: Called for each question; returns whether the VM is ready.
        """
        super().__init__()
        self._ready = ready

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Answers 200 or 503."""
        if not self._ready():
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""
