"""Health of targets, as one gateway observes it, and whether they get requests.

Rejected requests, connection failures and silence put a target into backoff. Faulty
answers and a recent start raise its cost compared with other targets.
"""

import math

from robinspindle.core import silence
from robinspindle.core.obstacles import find_end, find_send_obstacle
from robinspindle.core.targets import Directory, Target

FAILURES_BEFORE_BACKOFF = 2
"""Consecutive connection failures that start a backoff: a single one may be chance."""

INITIAL_BACKOFF_S = 0.4
"""First backoff, seconds: about a third of the interval of the targets' heartbeats."""

MAX_BACKOFF_S = 3.0
"""Longest backoff, seconds: a crashed target that restarts is used again within it."""

SWITCH_SLACK_S = 12.0
"""Time that an engine may take beyond the role change itself, seconds: the longest
answers that it has to finish first."""

INITIAL_FULL_BACKOFF_S = 0.05
MAX_FULL_BACKOFF_S = 1.0
"""First and longest backoff of a target that rejected a request as full, seconds. The
first is about the time in which a few of its requests end; it doubles with each
consecutive rejection. An engine that changes its role rejects all requests for seconds:
with a constant backoff callers are refused as their requests run out of retries."""

COLD_SLOWDOWN = 1.6
"""Assumed ratio of a target's response time during its warm-up to that after it, as the
platform's site files state for the plain services that have a warm-up."""

PEER_DELAY_S = 0.1
"""By how much later it may seem that a peer heard a target, seconds: its update takes
some milliseconds."""

FAULT_SMOOTHING = 0.1
"""Weight of the latest answer in the share of faulty ones: about the last ten count."""


def may_get_work(target: Target, now: float) -> bool:
    """Return whether a target may get new requests at all."""
    return find_end(target, now) is None


def is_healthy(target: Target, now: float) -> bool:
    """Return whether a target is neither in backoff, full, nor changing its role."""
    if is_switching(target, now):
        return False
    return now >= target.backoff_until and now >= target.stated.full_until


def find_slowness(target: Target, now: float) -> float:
    """Return the ratio of a target's response time to that of a warm target."""
    return COLD_SLOWDOWN if now < target.cold_until else 1.0


def note_switching(target: Target, role: str, until: float) -> None:
    """Record that a target was ordered to change to another role.

    Args:
        target: The target.
        role: The new role.
        until: Time until which it may be unavailable for that, monotonic seconds.
    """
    if target.announced.role != role:
        target.switching_to, target.switching_until = role, until


def is_switching(target: Target, now: float) -> bool:
    """Return whether a target is unavailable, or soon will be, for a role change."""
    is_done = target.announced.role == target.switching_to
    return bool(target.switching_to) and not is_done and now < target.switching_until


def list_usable(
    directory: Directory, service: str, now: float, tried: set[str]
) -> list[Target]:
    """List the targets of a service that may get a request.

    Args:
        directory: The known targets.
        service: The name of the service.
        now: The current time, monotonic seconds.
        tried: Lifetimes that this request was already sent to.

    Returns:
        The healthy targets; if there are none, all that may get requests. Targets whose
        entry is missing are used only if there are no others. Those that want nothing
        now are never used.
    """
    allowed = [
        target
        for target in _list_serving(directory, service, now, tried)
        if find_send_obstacle(target, now) is None
    ]
    listed = [target for target in allowed if target.gone_at is None] or allowed
    return [target for target in listed if is_healthy(target, now)] or listed


def _list_serving(
    directory: Directory, service: str, now: float, tried: set[str]
) -> list[Target]:
    return [
        target
        for target in directory.targets.values()
        if target.announced.service == service
        and target.announced.lifetime not in tried
        and may_get_work(target, now)
    ]


def note_connection_refused(
    target: Target, now: float, since: float = math.inf
) -> None:
    """Record a refused connection: the target's process is gone.

    Args:
        target: The target.
        now: The current time, monotonic seconds.
        since: When the attempt that failed began, monotonic seconds. In a backoff, all
            that were under way at one failure count as one.
    """
    if target.lost_at is None and target.gone_at is None:
        target.lost_at = now
    target.failures = max(target.failures, FAILURES_BEFORE_BACKOFF)
    is_known = now < target.backoff_until
    note_connection_failure(target, now, since if is_known else math.inf)


def note_connection_failure(
    target: Target, now: float, since: float = math.inf
) -> None:
    """Record a connection that broke or could not be made.

    Args:
        target: The target.
        now: The current time, monotonic seconds.
        since: When the attempt that failed began, monotonic seconds. All that were
            under way at one failure count as one.
    """
    note_fault(target, True)
    if since <= target.failed_at:
        return
    target.failures += 1
    target.failed_at = now
    if target.failures >= FAILURES_BEFORE_BACKOFF:
        doublings = min(8, target.failures - FAILURES_BEFORE_BACKOFF)
        target.backoff_until = now + min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**doublings
        )


def note_heard(target: Target, now: float) -> None:
    """Record that data came from a target; if it was silent, its backoff ends."""
    target.lost_at = None
    if silence.note_heard(target.liveness, now):
        note_answered(target)


def note_heard_by_peer(target: Target, heard_at: float) -> None:
    """Record when another gateway heard a target: it may be cut off from this one."""
    if target.lost_at is not None and heard_at > target.lost_at + PEER_DELAY_S:
        target.lost_at = None


def note_pause(target: Target, now: float) -> None:
    """Record that this process could hear nothing until now."""
    silence.note_pause(target.liveness, now)
    if target.lost_at is not None:
        target.lost_at = now


def note_silent(target: Target, now: float) -> None:
    """Record that a target is silent; its backoff begins."""
    silence.note_silent(target.liveness, now)
    note_connection_refused(target, now)


def note_reported_silent(target: Target, now: float) -> bool:
    """Record that another gateway found a target silent.

    The report is ignored if this gateway received data from the target recently, or if
    the target is in backoff already.

    Returns:
        Whether the report was applied.
    """
    is_heard = now - target.liveness.heard_at < silence.MIN_SILENCE_S
    if is_heard or now < target.backoff_until:
        return False
    note_connection_refused(target, now)
    return True


def note_answered(target: Target) -> None:
    """Record a complete answer."""
    target.failures = 0
    target.lost_at = None
    target.stated.refusals = 0
    target.backoff_until = 0.0


def note_fault(target: Target, faulty: bool) -> None:
    """Record whether an answer was a fault of the target itself."""
    target.faults += FAULT_SMOOTHING * ((1.0 if faulty else 0.0) - target.faults)


def note_full(target: Target, now: float, rests_longer: bool = True) -> None:
    """Record that a target rejected a request as full.

    Args:
        target: The target.
        now: The current time, monotonic seconds.
        rests_longer: Whether the backoff doubles with each consecutive rejection.
    """
    stated = target.stated
    doublings = stated.refusals if rests_longer else 0
    backoff_s = min(MAX_FULL_BACKOFF_S, INITIAL_FULL_BACKOFF_S * 2**doublings)
    stated.refusals += 1
    stated.full_until = max(stated.full_until, now + backoff_s)
