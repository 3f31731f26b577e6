"""The page of a process's metrics."""

from twisted.web import resource
from twisted.web import server

from citronmount.telemetry import exposition
from citronmount.telemetry import metrics as metrics_lib

__all__ = ["MetricsPage"]


class MetricsPage(resource.Resource):
    """Answers every path with all metrics as text."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, metrics: metrics_lib.Metrics) -> None:
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
