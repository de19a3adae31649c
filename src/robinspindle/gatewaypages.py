"""What a gateway answers besides callers' requests: readiness and metrics."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST

from robinspindle.admitting import Admission
from robinspindle.callerconnections import Handle
from robinspindle.core.forwarding import Refusal
from robinspindle.exceptions import BadDocumentError
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.gauges import GaugeSources, update_gauges
from robinspindle.metrics import format_metrics
from robinspindle.previewreports import PATH as PREVIEW_PATH
from robinspindle.previews import decode_question, preview_request
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
    turn = asyncio.Lock()

    async def answer(incoming: Incoming, reply: Reply) -> None:
        async with turn:
            # One page at a time takes long enough for the others.
            await asyncio.sleep(0)
            update_gauges(metrics, measure(), clock())
            body = format_metrics(metrics.registry)
        headers = ((b"Content-Type", CONTENT_TYPE_LATEST.encode()),)
        reply.begin(HTTPStatus.OK, b"OK", headers, len(body))
        reply.write(body)
        reply.end()

    return answer


def make_operator_pages(metrics_page: Handle, admission: Admission) -> Handle:
    """Make what operators read: previews of requests, and metrics at other paths."""

    async def answer(incoming: Incoming, reply: Reply) -> None:
        if incoming.target.partition(b"?")[0] != PREVIEW_PATH.encode():
            await metrics_page(incoming, reply)
            return
        try:
            question = decode_question(bytes(incoming.body))
            preview = preview_request(admission, question, reply)
        except BadDocumentError as error:
            reply.refuse(Refusal(HTTPStatus.BAD_REQUEST, str(error)))
            return
        body = msgspec.json.encode(preview)
        headers = ((b"Content-Type", b"application/json"),)
        reply.begin(HTTPStatus.OK, b"OK", headers, len(body))
        reply.write(body)
        reply.end()

    return answer
