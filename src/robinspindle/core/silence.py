"""Targets that fall silent: noticed by what was to be heard of them by when.

A target that loses its power or its link says nothing, and connections to it stay
open. Whoever waits for something of a target says how long it may take; a target is
silent once nothing at all was heard of it for as long as somebody expected to hear. One
that is busy with another request is heard by that, so a long wait alone is no silence.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

MIN_SILENCE_S = 0.6
"""The shortest silence that is noticed, seconds: several times the longest step of an
engine that reads a piece of a prompt (0.1 s), and a third of what callers wait."""

PLANNED_FACTOR = 2.0
"""An answer may begin after this many times what was planned, and an engine that reads
may be quiet for so many times the work before it: nine in ten readings take less than
twice what is planned. Without the work 247 readers were wrongly taken as silent on one
day, and the prompts begun there read for nothing."""

LOST_FACTOR = 3.0
LOST_S = 0.8
"""An answer that took so many times what was planned, and the second more, is lost: a
target may run a request, or read a prompt, and its answer never come. On a day on which
three in ten answers of half of the engines were lost for 6 s, 55 prompts that had been
read were waited for until their callers left. The second is longer than the shortest
silence, so that a target which says nothing at all is first taken as silent."""

GAP_FACTOR = 2.5
"""The next event may take this many times the pause that is in time."""


@dataclass(eq=False)
class ExpectedResponse:
    """Something that is to be heard of a target.

    Attributes:
        since: When the wait began, or the last part of the answer came, steady seconds.
        silent_after_s: How long it may take, seconds.
        abandon: Called when the target is silent, if the request may go elsewhere; None
            if it has to wait.
        lost_after_s: How long it may take at the most, seconds, also where the target
            is heard of otherwise: then this one answer is lost.
        end: Called when the target's life is known to be over, whether or not the
            request may go elsewhere: nothing more will come.
    """

    since: float
    silent_after_s: float
    abandon: Callable[[], None] | None = None
    lost_after_s: float = math.inf
    end: Callable[[], None] | None = None


@dataclass
class Liveness:
    """What is heard of one target, and what is expected.

    Attributes:
        heard_at: When anything was last heard of it, steady seconds.
        expected: What is expected.
        silent_since: From when it has been silent; None if it is not.
    """

    heard_at: float = -math.inf
    expected: set[ExpectedResponse] = field(default_factory=set)
    silent_since: float | None = None


def find_first_event_timeout(planned_s: float) -> float:
    """Find how long an answer that was planned to take so long may take to begin."""
    return max(MIN_SILENCE_S, PLANNED_FACTOR * planned_s)


def find_lost_timeout(planned_s: float) -> float:
    """Find after how long an answer that was planned to take so long must be lost."""
    return LOST_S + LOST_FACTOR * planned_s


def find_next_event_timeout(gap_s: float) -> float:
    """Find how long the next event may take where such a pause is in time, seconds."""
    return max(MIN_SILENCE_S, GAP_FACTOR * gap_s)


def note_pause(liveness: Liveness, now: float) -> None:
    """Take note that nothing could be heard until now: all waits begin anew."""
    for expected in liveness.expected:
        expected.since = max(expected.since, now)


def note_heard(liveness: Liveness, now: float) -> bool:
    """Take note that something came; whether a target that was silent is so no more."""
    liveness.heard_at = now
    ends_silence = liveness.silent_since is not None and now > liveness.silent_since
    if ends_silence:
        liveness.silent_since = None
    return ends_silence


def is_overdue(liveness: Liveness, now: float, backlog_s: float = 0.0) -> bool:
    """Whether nothing was heard for as long as somebody expected to hear.

    Of a target that is silent already only what was sent to it since says anything new.

    Args:
        liveness: What is heard of the target.
        now: The present time, steady seconds.
        backlog_s: Seconds of reading that are before an engine, for all entries.
    """
    since = liveness.silent_since
    busy_s = PLANNED_FACTOR * backlog_s
    return any(
        now - max(liveness.heard_at, expected.since) > expected.silent_after_s + busy_s
        for expected in liveness.expected
        if since is None or expected.since > since
    )


def note_silent(liveness: Liveness, now: float) -> None:
    """Take note that a target is silent."""
    liveness.silent_since = now


def list_abandon_callbacks(liveness: Liveness) -> list[Callable[[], None]]:
    """List how the requests that may go elsewhere leave a silent target."""
    return [e.abandon for e in liveness.expected if e.abandon is not None]


def list_end_callbacks(liveness: Liveness) -> list[Callable[[], None]]:
    """List how the requests end that wait for a target whose life is over."""
    return [e.end for e in liveness.expected if e.end is not None]


def list_lost_callbacks(liveness: Liveness, now: float) -> list[Callable[[], None]]:
    """List how those leave whose answers must be lost, though the target is heard."""
    return [
        expected.abandon
        for expected in liveness.expected
        if expected.abandon is not None and now - expected.since > expected.lost_after_s
    ]
