"""Binds streams to the software version that began them."""

import asyncio
from dataclasses import dataclass

from robinspindle.core import health
from robinspindle.core.forwarding import Request
from robinspindle.core.permits import Permit
from robinspindle.core.routes import Route
from robinspindle.core.streamorigins import StreamOrigin
from robinspindle.core.streamversions import (
    PREFILL,
    StreamBinding,
    make_binding,
    may_serve,
)
from robinspindle.core.targets import Announcement, Directory, Target
from robinspindle.core.versionhistory import find_sole_version
from robinspindle.following import WAIT_S
from robinspindle.passages import Means, Passage
from robinspindle.peers import list_heard

LIST_AGE_S = WAIT_S + 1.0
"""Longest time between two reads of the list where no other gateway is heard,
seconds: that of a poll and of its call."""


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
        return stream
    found = FoundOrigin(await _ask_for_origin(means, request, stream), "gateways")
    if found.origin is None:
        found = FoundOrigin(_find_sole_origin(means, route), "sole version")
    if found.origin is not None and may_serve(route, found.origin):
        stream.origin = found.origin
    _log_taken_up(means, request, found)
    return stream


async def _ask_for_origin(
    means: Means, request: Request, stream: StreamBinding
) -> StreamOrigin | None:
    if stream.key is None:
        return None
    try:
        return await means.streams.find(stream.key)
    except asyncio.CancelledError:
        means.log("caller left: its stream was looked for", request=request.id)
        raise


def _find_sole_origin(means: Means, route: Route) -> StreamOrigin | None:
    """Find the origin of any stream of a route, if only one is possible."""
    now, fleet = means.clock(), means.fleet
    services = [backend.service for backend in route.backends if backend.weight > 0]
    if not route.resumable or len(services) != 1 or not _is_list_current(means, now):
        return None
    version = find_sole_version(
        fleet.versions, fleet.directory, services[0], route.timeout_s, now
    )
    if version is None:
        return None
    return StreamOrigin(services[0], version, "", _read_wall_ms(means))


def _is_list_current(means: Means, now: float) -> bool:
    """Whether a target that was listed a while ago would be known here."""
    directory = means.fleet.directory
    if directory.unavailable_since is not None:
        return False
    # Others that are heard tell how far the list goes; alone, it is read often.
    return bool(list_heard(means.peers)) or now - directory.read_at <= LIST_AGE_S


def _log_taken_up(means: Means, request: Request, found: FoundOrigin) -> None:
    """Log whose stream a request takes up, how that was found out, and who is left."""
    origin, now = found.origin, means.clock()
    fitting = _list_fitting(means.fleet.directory, origin) if origin else []
    generating = [t for t in fitting if t.announced.role != PREFILL]
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
        generating=len(generating),
        healthy=sum(
            health.may_get_work(t, now) and health.is_healthy(t, now)
            for t in generating
        ),
    )


def _list_fitting(directory: Directory, origin: StreamOrigin) -> list[Target]:
    """List the targets of the service and the version that began a stream."""
    wanted = (origin.service, origin.software_version)
    return [
        target
        for target in directory.targets.values()
        if (target.announced.service, target.announced.software_version) == wanted
    ]


def note_first_event(means: Means, passage: Passage, announced: Announcement) -> None:
    """Fix the version of an answer that begins, and tell who began its stream.

    Args:
        means: What the relay has.
        passage: The request.
        announced: The target that sent the event.
    """
    stream = passage.stream
    if stream.origin is None:
        stream.origin = StreamOrigin(
            announced.service,
            announced.software_version,
            announced.lifetime,
            _read_wall_ms(means),
        )
    if stream.key is not None:
        means.streams.note_begun(stream.key, stream.origin)


def _read_wall_ms(means: Means) -> int:
    """Read the time of day, Unix milliseconds."""
    return round(means.book.read_wall() * 1000)
