"""Decides at which targets the events of a stream may come from.

What two software versions write doesn't fit together, so a stream goes on only at
targets of the service and the version that began it. Its version is fixed with the
first event that is passed on to its caller: a target that refuses or fails before has
begun nothing. A stream whose version is not known for certain doesn't go on.

Only events count. A prompt may be prefilled by an engine of another version, and parts
of it be fetched from the cache of one, as caches hold no events.
"""

from dataclasses import dataclass

from robinspindle.core.forwarding import Request
from robinspindle.core.lifetimes import find_id, find_start_ms, is_later
from robinspindle.core.routes import STREAM, Route
from robinspindle.core.streamorigins import StreamKey, StreamOrigin, make_stream_key
from robinspindle.core.targets import PREFILL_ROLE, Directory, list_lifetimes

CLOCK_MARGIN_MS = 2000
"""By how much the clocks of a gateway and of a target may differ, milliseconds: eight
times what gateways put down to delays when they compare theirs."""

MAX_ATTEMPT_ID_LENGTH = 256
"""Longest id of an attempt whose stream is remembered, characters."""

UNKNOWN_STREAM = "unknown-stream"
"""Why a request is refused that goes on with a stream of unknown origin."""


@dataclass
class StreamBinding:
    """What is known of the stream that a request begins or takes up.

    Attributes:
        key: The key under which its origin is remembered; None if it isn't.
        origin: Who began it; None if nobody has or that is not known.
        is_taken_up: Whether its caller has events of it from an earlier attempt.
    """

    key: StreamKey | None = None
    origin: StreamOrigin | None = None
    is_taken_up: bool = False


def make_binding(route: Route, request: Request, workspace: str) -> StreamBinding:
    """Make the binding of a request, before its stream's origin is looked for.

    Args:
        route: The request's route.
        request: The request.
        workspace: Its workspace; empty if it has none.
    """
    if route.kind != STREAM:
        return StreamBinding()
    resumption = request.resumption
    attempt_id = request.id if resumption is None else resumption.attempt_id
    key = None
    if route.resumable and is_attempt_id(attempt_id):
        key = make_stream_key(workspace, attempt_id)
    return StreamBinding(key, is_taken_up=resumption is not None)


def is_attempt_id(text: str) -> bool:
    """Return whether a text can name the attempt that began a stream."""
    is_short = 0 < len(text) <= MAX_ATTEMPT_ID_LENGTH
    return is_short and text.isascii() and text.isprintable()


def may_serve(route: Route, origin: StreamOrigin) -> bool:
    """Return whether a route sends requests to the service that began a stream."""
    return any(
        backend.service == origin.service and backend.weight > 0
        for backend in route.backends
    )


def is_unbound(stream: StreamBinding) -> bool:
    """Return whether any target may begin a stream."""
    return stream.origin is None and not stream.is_taken_up


def find_obstacle(directory: Directory, stream: StreamBinding) -> str:
    """Return why no target at all may go on with a stream, or an empty string."""
    if is_unbound(stream):
        return ""
    is_known = stream.origin is not None and is_credible(directory, stream.origin)
    return "" if is_known else UNKNOWN_STREAM


def find_version(stream: StreamBinding) -> str | None:
    """Find the software version at which alone a stream goes on; None for any."""
    return None if stream.origin is None else stream.origin.software_version


def list_barred(directory: Directory, stream: StreamBinding) -> set[str]:
    """List the lifetimes whose events may not follow those of a stream."""
    if is_unbound(stream):
        return set()
    if find_obstacle(directory, stream):
        return set(directory.targets)
    return {
        lifetime
        for lifetime, target in directory.targets.items()
        if target.announced.role == PREFILL_ROLE
        or target.announced.software_version != stream.origin.software_version
    }


def list_generating(directory: Directory) -> set[str]:
    """List the lifetimes that don't only prefill."""
    return {
        lifetime
        for lifetime, target in directory.targets.items()
        if target.announced.role != PREFILL_ROLE
    }


def is_credible(directory: Directory, origin: StreamOrigin) -> bool:
    """Return whether a stream was begun by the version that its origin names.

    A target is named by its id alone on the wire, so whoever sends to it may meet a
    later lifetime before the entry of that one arrives.
    """
    id = find_id(origin.lifetime)
    versions: dict[str, str | None] = {
        target.announced.lifetime: target.announced.software_version
        for target in list_lifetimes(directory, id)
    }
    newest = directory.newest_lifetimes.get(id)
    if newest is not None:
        # Its version is no longer known if it is gone.
        versions.setdefault(
            newest, origin.software_version if newest == origin.lifetime else None
        )
    return not any(
        _may_have_begun(origin, lifetime)
        for lifetime, version in versions.items()
        if version != origin.software_version
    )


def _may_have_begun(origin: StreamOrigin, lifetime: str) -> bool:
    """Return whether another lifetime than its origin's may have begun a stream.

    A connection ends with the lifetime that accepted it.
    """
    if is_later(origin.lifetime, lifetime):
        return False
    start_ms = find_start_ms(lifetime)
    return start_ms is None or start_ms - CLOCK_MARGIN_MS <= origin.opened_ms
