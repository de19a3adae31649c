"""The prefills that an engine still has to do, and the wait that they cause.

A gateway adds its own prompts at once, and the backlogs of the other gateways as they
are received.
"""

from robinspindle.core.engines import Engine, PrefillStart
from robinspindle.core.priorities import LATE_LEVEL, make_level_sums

RECENT_WINDOW_S = 1.0
"""Time for which the start of a prefill is remembered, seconds: several gaps between
events and as many prefills, enough to measure the share of time that prefills of
higher priority take."""

MIN_IDLE_SHARE = 0.1
"""Least share of its time that an engine is assumed to have for prefills of lower
priority."""


def sum_backlog_s(engine: Engine, level: int) -> float:
    """Sum the prefill backlog of a priority level and all higher ones, seconds."""
    if level == LATE_LEVEL:
        return engine.backlog_s
    return sum(engine.own_backlog_s[: level + 1]) + sum(
        engine.peers_backlog_s[: level + 1]
    )


def note_peer_backlog(engine: Engine, peer: str, levels: list[float]) -> None:
    """Record the prefill backlog of another gateway at an engine.

    The sum over the peers is updated at once, as it is read far more often than it
    changes.

    Args:
        engine: The engine.
        peer: Name of the other gateway.
        levels: Its backlog by priority level, seconds.
    """
    forget_peer_backlog(engine, peer)
    engine.peer_backlogs_s[peer] = levels
    engine.peers_backlog_s = [
        a + b for a, b in zip(engine.peers_backlog_s, levels, strict=True)
    ]


def forget_peer_backlog(engine: Engine, peer: str) -> None:
    """Remove the prefill backlog of another gateway."""
    known = engine.peer_backlogs_s.pop(peer, None)
    if known is None:
        return
    pairs = zip(engine.peers_backlog_s, known, strict=True)
    # Without peers the sum restarts at zero, which drops rounding errors.
    engine.peers_backlog_s = (
        [max(0.0, a - b) for a, b in pairs]
        if engine.peer_backlogs_s
        else make_level_sums()
    )


def estimate_wait(engine: Engine, level: int, now: float) -> float:
    """Estimate the wait until an engine begins the prefill of a prompt, seconds.

    An engine doesn't preempt the running prefill for one of higher priority, and more
    prefills of higher priority will arrive during the wait.

    Args:
        engine: The engine.
        level: Priority level of the prompt.
        now: The current time, monotonic seconds.
    """
    level_backlog_s = sum_backlog_s(engine, level)
    lower_backlog_s = max(0.0, sum_backlog_s(engine, LATE_LEVEL) - level_backlog_s)
    higher_priority_s = total_s = squares = 0.0
    # One pass computes all sums: this runs for each engine and request.
    for start in engine.recent_prefills:
        total_s += start.seconds
        squares += start.seconds**2
        if start.level < level and start.at > now - RECENT_WINDOW_S:
            higher_priority_s += start.seconds
    # The mean residual time of the running prefill is half of the mean duration with
    # each duration weighted by itself: a longer prefill is more likely the running one.
    residual_s = squares / total_s / 2 if total_s > 0 else 0.0
    ahead_s = level_backlog_s + min(lower_backlog_s, residual_s)
    return ahead_s / max(MIN_IDLE_SHARE, 1.0 - higher_priority_s / RECENT_WINDOW_S)


def count_recent_prefills(engine: Engine, now: float) -> int:
    """Count the prefills that began at an engine within `RECENT_WINDOW_S`."""
    return sum(start.at >= now - RECENT_WINDOW_S for start in engine.recent_prefills)


def note_prefill_start(engine: Engine, now: float, seconds: float, level: int) -> None:
    """Record that an engine begins a prefill of an estimated duration in seconds."""
    while (
        engine.recent_prefills and engine.recent_prefills[0].at < now - RECENT_WINDOW_S
    ):
        engine.recent_prefills.popleft()
    engine.recent_prefills.append(PrefillStart(now, seconds, level))
    engine.placed += 1


def sum_recent_prefill_s(engine: Engine, now: float, window_s: float) -> float:
    """Sum the durations of prefills that an engine began within a window, seconds."""
    return sum(
        start.seconds for start in engine.recent_prefills if start.at >= now - window_s
    )
