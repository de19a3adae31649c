"""Health, readiness and metrics over HTTP."""

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry

from robinspindle.callerthreads import CallerThreads
from robinspindle.metrics import format_metrics
from robinspindle.web import Answer, Request, answer_json, make_error, make_server

THREADS = 2
BODY_LIMIT = 1024


def answer_health(
    request: Request, registry: CollectorRegistry, is_ready: Callable[[], bool]
) -> Answer | None:
    """Answer a request for health, readiness or metrics, or return None."""
    if request.path == "/healthz":
        return answer_json({"alive": True})
    if request.path == "/readyz":
        ready = is_ready()
        return answer_json({"ready": ready}, 200 if ready else 503)
    if request.path == "/metrics":
        headers = (("Content-Type", CONTENT_TYPE_LATEST),)
        return Answer(200, [format_metrics(registry)], headers)
    return None


def make_health_server(
    address: str, registry: CollectorRegistry, is_ready: Callable[[], bool]
) -> CallerThreads:
    """Make a server that answers only these."""

    def handle(request: Request) -> Answer:
        answer = answer_health(request, registry, is_ready)
        if answer is None:
            raise make_error(404, "not_found", f"nothing is at {request.path}")
        return answer

    return make_server(address, handle, THREADS, BODY_LIMIT)
