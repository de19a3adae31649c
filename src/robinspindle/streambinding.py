"""Binds streams to the software version that began them."""

import asyncio
import math
from dataclasses import dataclass

from robinspindle.core import returns
from robinspindle.core.forwarding import Request, find_first_event_deadline
from robinspindle.core.permits import Permit
from robinspindle.core.routes import Route
from robinspindle.core.streamorigins import StreamOrigin
from robinspindle.core.streamversions import (
    StreamBinding,
    make_binding,
    may_serve,
)
from robinspindle.core.targets import Announcement, Directory, Target
from robinspindle.passages import Means, Passage
from robinspindle.peers import list_heard

LOOK_SHARE = 0.5
"""Share of the time until a caller gives up in which its stream's origin is looked for;
the rest is for a target, or for the caller to come again."""


@dataclass(frozen=True)
class FoundOrigin:
    """Who began a stream that is taken up.

    Attributes:
        origin: Who did; None if that is not known.
        by: How that was found out, or what was tried last, for logs.
    """

    origin: StreamOrigin | None
    by: str


async def bind_stream(
    means: Means, route: Route, request: Request, permit: Permit
) -> StreamBinding:
    """Find who began the stream that a request takes up, if it takes one up."""
    workspace = permit.workspace.name if permit.workspace else ""
    stream = make_binding(route, request, workspace)
    if not stream.is_taken_up:
        if route.resumable:
            await means.versions.await_first(_list_services(route))
        return stream
    due = find_first_event_deadline(request, route)
    look_s = LOOK_SHARE * (due - means.clock())
    try:
        async with asyncio.timeout(max(0.0, look_s)):
            found = await find_origin(
                means, route, stream, request.resumption.is_event_clear
            )
    except TimeoutError:
        found = FoundOrigin(None, "no time left")
    except asyncio.CancelledError:
        means.log("caller left: its stream was looked for", request=request.id)
        raise
    if found.origin is not None and may_serve(route, found.origin):
        stream.origin = found.origin
    _log_taken_up(means, request, found)
    return stream


async def find_origin(
    means: Means, route: Route, stream: StreamBinding, is_event_clear: bool
) -> FoundOrigin:
    """Find who began a stream: at gateways, by the versions' records, in the store."""
    if stream.key is not None:
        origin = await means.streams.find(stream.key)
        if origin is not None:
            return FoundOrigin(origin, "gateways")
    if not (route.resumable and is_event_clear):
        return FoundOrigin(None, "gateways")
    services = _list_services(route)
    sole = await means.versions.find_sole(services, route.timeout_s)
    if sole is not None:
        now_ms = _read_wall_ms(means)
        origin = StreamOrigin(sole.service, sole.software_version, "", now_ms)
        return FoundOrigin(origin, "sole version")
    if stream.key is None or not means.versions.has_several(services):
        return FoundOrigin(None, "versions")
    return FoundOrigin(await means.streams.find_kept(stream.key), "store")


def _list_services(route: Route) -> list[str]:
    return [backend.service for backend in route.backends]


def _log_taken_up(means: Means, request: Request, found: FoundOrigin) -> None:
    """Log whose stream a request takes up, how that was found out, and who is left."""
    origin, now = found.origin, means.clock()
    fitting = _list_fitting(means.fleet.directory, origin) if origin else []
    means.metrics.take_ups.labels(found.by).inc()
    means.log(
        "stream taken up",
        routine=origin is not None,
        at=round(now, 4),
        request=request.id,
        first_attempt=request.resumption.attempt_id,
        by=found.by,
        peers_heard=len(list_heard(means.peers)),
        service=origin.service if origin else "",
        software_version=origin.software_version if origin else "",
        target=origin.lifetime if origin else "",
        listed=len(fitting),
        targets=returns.count_conditions(fitting, now),
    )


def _list_fitting(directory: Directory, origin: StreamOrigin) -> list[Target]:
    """List the targets of the service and the version that began a stream."""
    return returns.list_of_version(directory, origin.service, origin.software_version)


def note_first_event(
    means: Means, passage: Passage, announced: Announcement, opened_at: float
) -> None:
    """Fix the version of an answer that begins, and tell who began its stream.

    Args:
        means: What the relay has.
        passage: The request.
        announced: The target that sent the event.
        opened_at: When the connection that brought it was opened, steady seconds. A
            lifetime that began later has no part in it.
    """
    stream = passage.stream
    if stream.origin is None:
        stream.origin = StreamOrigin(
            announced.service,
            announced.software_version,
            announced.lifetime,
            _find_opened_ms(means, opened_at),
        )
    if stream.key is not None:
        is_kept = means.versions.has_several(_list_services(passage.route))
        means.streams.note_begun(stream.key, stream.origin, is_kept)


def note_whole(means: Means, passage: Passage) -> None:
    """Take note that the answer to a request is whole."""
    if passage.stream.key is not None:
        means.streams.note_whole(passage.stream.key)


def _find_opened_ms(means: Means, opened_at: float) -> int:
    """Find when a connection was opened by the time of day, Unix milliseconds."""
    age_s = means.clock() - opened_at
    return max(0, _read_wall_ms(means) - math.floor(age_s * 1000))


def _read_wall_ms(means: Means) -> int:
    """Read the time of day, Unix milliseconds."""
    return round(means.book.read_wall() * 1000)
