"""Binds streams to the software version that began them."""

import asyncio

from robinspindle.core.forwarding import Request
from robinspindle.core.permits import Permit
from robinspindle.core.routes import Route
from robinspindle.core.streamorigins import StreamOrigin
from robinspindle.core.streamversions import StreamBinding, make_binding, may_serve
from robinspindle.core.targets import Announcement
from robinspindle.passages import Means, Passage


async def bind_stream(
    means: Means, route: Route, request: Request, permit: Permit
) -> StreamBinding:
    """Find who began the stream that a request takes up, if it takes one up."""
    workspace = permit.workspace.name if permit.workspace else ""
    stream = make_binding(route, request, workspace)
    if not stream.is_taken_up or stream.key is None:
        return stream
    try:
        origin = await means.streams.find(stream.key)
    except asyncio.CancelledError:
        means.log("caller left: its stream was looked for", request=request.id)
        raise
    if origin is not None and may_serve(route, origin):
        stream.origin = origin
    return stream


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
            round(means.book.read_wall() * 1000),
        )
    if stream.key is not None:
        means.streams.note_begun(stream.key, stream.origin)
