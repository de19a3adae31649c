"""Detects silent targets: those from which nothing came within the expected time.

A target that loses its power or its network link sends nothing, and connections to it
stay open. Whoever waits for a response from a target states how long it may take. A
target is silent once nothing at all came from it within the time that any waiting
request expected. A target that is busy with another request sends data for that one,
so a long wait alone doesn't make a target silent.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

MIN_SILENCE_S = 0.6
"""Shortest silence that is detected, seconds: several times the longest step of an
engine that prefills a chunk of a prompt (0.1 s), and a third of the time that callers
wait."""

PLANNED_FACTOR = 2.0
"""Ratio of the timeout for the start of an answer to its planned time. The timeout of a
prefill engine also grows by this many times its backlog, as it answers only when a
whole prompt is read. Nine in ten prefills take less than twice their planned time."""

LOST_FACTOR = 3.0
LOST_S = 0.8
"""An answer counts as lost `LOST_FACTOR` times its planned time, plus `LOST_S` seconds,
after the wait for it began. A target may run a request, or prefill a prompt, and its
answer may never arrive. `LOST_S` is longer than the shortest silence, so that a target
that sends nothing at all is detected as silent first."""

GAP_FACTOR = 2.5
"""Ratio of the next event's timeout to the longest gap between two events that meets
the deadline."""


@dataclass(eq=False)
class ExpectedResponse:
    """A response that a request waits for.

    Attributes:
        since: Start of the wait, or time of the last part of the answer, monotonic
            seconds.
        silent_after_s: Time after which the target counts as silent if nothing at all
            came from it, seconds.
        abandon: Called when the target is silent or the answer is lost, if the request
            may be tried at another target; None if it has to wait.
        lost_after_s: Time after which this answer counts as lost even though data comes
            from the target, seconds.
        end: Called when the target's lifetime is known to have ended, whether or not
            the request may be sent to another target: nothing more will come.
        is_held: Whether this process reads nothing of the answer for now, because its
            caller takes nothing.
    """

    since: float
    silent_after_s: float
    abandon: Callable[[], None] | None = None
    lost_after_s: float = math.inf
    end: Callable[[], None] | None = None
    is_held: bool = False


@dataclass
class Liveness:
    """What came from one target, and what is expected from it.

    Attributes:
        heard_at: Time when data last came from it, monotonic seconds.
        expected: The expected responses.
        silent_since: Time since which it is silent, monotonic seconds; None if it is
            not.
    """

    heard_at: float = -math.inf
    expected: set[ExpectedResponse] = field(default_factory=set)
    silent_since: float | None = None


def find_first_event_timeout(planned_s: float) -> float:
    """Return the timeout for the first event of an answer, seconds.

    Args:
        planned_s: Planned time until the first event, seconds.
    """
    return max(MIN_SILENCE_S, PLANNED_FACTOR * planned_s)


def find_lost_timeout(planned_s: float) -> float:
    """Return the time after which an answer counts as lost, seconds.

    Args:
        planned_s: Planned time, seconds.
    """
    return LOST_S + LOST_FACTOR * planned_s


def find_next_event_timeout(gap_s: float) -> float:
    """Return the timeout for the next event of an answer, seconds.

    Args:
        gap_s: Longest gap between two events that meets the deadline, seconds.
    """
    return max(MIN_SILENCE_S, GAP_FACTOR * gap_s)


def note_pause(liveness: Liveness, now: float) -> None:
    """Restart all waits after a time in which this process could receive nothing."""
    for expected in liveness.expected:
        expected.since = max(expected.since, now)


def note_heard(liveness: Liveness, now: float) -> bool:
    """Record that data came from a target.

    Args:
        liveness: The liveness of the target.
        now: Time when the data came, monotonic seconds.

    Returns:
        Whether the target was silent until then.
    """
    liveness.heard_at = now
    ends_silence = liveness.silent_since is not None and now > liveness.silent_since
    if ends_silence:
        liveness.silent_since = None
    return ends_silence


def is_overdue(liveness: Liveness, now: float, backlog_s: float = 0.0) -> bool:
    """Return whether nothing came within the time that a request expected.

    For a target that is silent already, only requests sent to it since then count.

    Args:
        liveness: The liveness of the target.
        now: The current time, monotonic seconds.
        backlog_s: Prefill backlog of an engine from all gateways, seconds.
    """
    since = liveness.silent_since
    busy_s = PLANNED_FACTOR * backlog_s
    return any(
        now - max(liveness.heard_at, expected.since) > expected.silent_after_s + busy_s
        for expected in liveness.expected
        if not expected.is_held and (since is None or expected.since > since)
    )


def note_silent(liveness: Liveness, now: float) -> None:
    """Record that a target is silent."""
    liveness.silent_since = now


def list_abandon_callbacks(liveness: Liveness) -> list[Callable[[], None]]:
    """List the callbacks by which requests abandon a silent target."""
    return [
        expected.abandon
        for expected in liveness.expected
        if expected.abandon is not None and not expected.is_held
    ]


def list_end_callbacks(liveness: Liveness) -> list[Callable[[], None]]:
    """List the callbacks for requests to a target whose lifetime has ended."""
    return [e.end for e in liveness.expected if e.end is not None]


def list_lost_callbacks(liveness: Liveness, now: float) -> list[Callable[[], None]]:
    """List the callbacks by which requests abandon answers that count as lost."""
    return [
        expected.abandon
        for expected in liveness.expected
        if expected.abandon is not None
        and not expected.is_held
        and now - expected.since > expected.lost_after_s
    ]
