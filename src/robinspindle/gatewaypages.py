"""What a gateway answers besides callers' requests: readiness and metrics."""

from collections.abc import Callable
from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_LATEST

from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.gauges import GaugeSources, update_gauges
from robinspindle.httpserver import Handle
from robinspindle.metrics import format_metrics
from robinspindle.replies import Reply
from robinspindle.requestparser import Incoming


def make_readiness_page(is_ready: Callable[[], bool]) -> Handle:
    """Make what tells the balancer whether it may send callers."""

    async def answer(incoming: Incoming, reply: Reply) -> None:
        status = HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        reply.begin(status, status.phrase.encode(), (), 0)
        reply.end()

    return answer


def make_metrics_page(
    metrics: GatewayMetrics,
    measure: Callable[[], GaugeSources],
    clock: Callable[[], float],
) -> Handle:
    """Make what tells the metrics.

    Args:
        metrics: All of them.
        measure: Lists what the gauges are read from.
        clock: Tells the present time, steady seconds.
    """

    async def answer(incoming: Incoming, reply: Reply) -> None:
        update_gauges(metrics, measure(), clock())
        body = format_metrics(metrics.registry)
        headers = ((b"Content-Type", CONTENT_TYPE_LATEST.encode()),)
        reply.begin(HTTPStatus.OK, b"OK", headers, len(body))
        reply.write(body)
        reply.end()

    return answer
