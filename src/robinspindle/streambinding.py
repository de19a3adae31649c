"""Binds streams to the software version that began them."""

import asyncio

from robinspindle.core.forwarding import Request
from robinspindle.core.permits import Permit
from robinspindle.core.routes import Route
from robinspindle.core.streamorigins import StreamOrigin
from robinspindle.core.streamversions import StreamBinding, make_binding, may_serve
from robinspindle.core.targets import Announcement
from robinspindle.core.versionhistory import find_sole_version
from robinspindle.following import WAIT_S
from robinspindle.passages import Means, Passage
from robinspindle.peers import list_heard

LIST_AGE_S = WAIT_S + 1.0
"""Longest time between two reads of the list where no other gateway is heard,
seconds: that of a poll and of its call."""


async def bind_stream(
    means: Means, route: Route, request: Request, permit: Permit
) -> StreamBinding:
    """Find who began the stream that a request takes up, if it takes one up."""
    workspace = permit.workspace.name if permit.workspace else ""
    stream = make_binding(route, request, workspace)
    if not stream.is_taken_up:
        return stream
    origin = await _ask_for_origin(means, request, stream)
    if origin is None:
        origin = _find_sole_origin(means, route)
    if origin is not None and may_serve(route, origin):
        stream.origin = origin
    _log_taken_up(means, request, origin)
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


def _log_taken_up(means: Means, request: Request, origin: StreamOrigin | None) -> None:
    """Log whose stream a request takes up."""
    means.log(
        "stream taken up",
        routine=origin is not None,
        at=round(means.clock(), 4),
        request=request.id,
        first_attempt=request.resumption.attempt_id,
        service=origin.service if origin else "",
        software_version=origin.software_version if origin else "",
        target=origin.lifetime if origin else "",
    )


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
