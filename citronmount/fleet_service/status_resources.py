"""HTTP resources on the state of the process: readiness and metrics."""

from collections.abc import Callable

from twisted.web import http
from twisted.web import resource
from twisted.web import server

from citronmount.telemetry import exposition
from citronmount.telemetry import metrics_registry

__all__ = ["MetricsResource", "ReadinessResource"]


class MetricsResource(resource.Resource):
    """Answers every path with all metrics as text."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, registry: metrics_registry.MetricsRegistry) -> None:
        """Initializes the resource.

        Args:
            registry: The metrics of the process.
        """
        super().__init__()
        self._registry = registry

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Returns the current metrics in the exposition format."""
        request.setHeader("content-type", exposition.CONTENT_TYPE)
        return exposition.render(self._registry.snapshot()).encode("utf-8")


class ReadinessResource(resource.Resource):
    """Answers whether the VM should get new connections."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, ready: Callable[[], bool]) -> None:
        """Initializes the resource.

        Args:
            ready: Called for each request; returns whether the VM is ready.
        """
        super().__init__()
        self._ready = ready

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Answers 200 if the VM is ready, otherwise 503."""
        if not self._ready():
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""
