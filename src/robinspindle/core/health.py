"""What a target has lately done for one entry, and whether it gets work for it.

Refusals, broken connections and silence make it rest; faults and a start not long ago
make it look slower than the others.
"""

from robinspindle.core import silence, targets
from robinspindle.core.targets import Directory, Target

FAILURES_TO_REST = 2
"""Broken connections in a row after which a target rests: one may be chance."""

FIRST_BACKOFF_S = 0.4
"""First rest, seconds: about a third of the interval of the targets' heartbeats."""

MAX_BACKOFF_S = 3.0
"""Longest rest, seconds: a crashed target that restarts is found again within it."""

SWITCH_SLACK_S = 12.0
"""How long an engine may take beyond a change of role itself, seconds: the longest
answers that it has to end first."""

FIRST_FULL_BACKOFF_S = 0.05
MAX_FULL_BACKOFF_S = 1.0
"""First and longest rest of a target that turned a request away, seconds: about the
time in which a few of its requests end, doubled for each one that it turns away in a
row. An engine that changes its role turns all away for seconds; with the first rest
alone callers are refused for want of a repeat."""

COLD_FACTOR = 1.6
"""How much slower a target is taken to be soon after its start: what the platform's
site files say of the plain services that have such a time."""

FAULT_SMOOTHING = 0.1
"""Weight of the newest answer in the share of faulty ones: about the last ten count."""


def may_get_work(target: Target, now: float) -> bool:
    """Whether a target may get new requests at all."""
    is_away = target.replaced or target.is_unreadable or targets.is_gone(target, now)
    return not (target.announced.leaving or is_away)


def is_healthy(target: Target, now: float) -> bool:
    """Whether nothing that was seen speaks against a target at the moment."""
    if is_switching(target, now):
        return False
    return now >= target.backoff_until and now >= target.full_until


def find_slowness(target: Target, now: float) -> float:
    """Find how many times longer a target takes than one that started long ago."""
    return COLD_FACTOR if now < target.cold_until else 1.0


def note_switching(target: Target, role: str, until: float) -> None:
    """Take note that a target was ordered to take another role."""
    if target.announced.role != role:
        target.switching_to, target.switching_until = role, until


def is_switching(target: Target, now: float) -> bool:
    """Whether a target is away, or about to be, for a change of its role."""
    is_done = target.announced.role == target.switching_to
    return bool(target.switching_to) and not is_done and now < target.switching_until


def list_usable(
    directory: Directory, service: str, now: float, tried: set[str]
) -> list[Target]:
    """List the targets of a service that may get a request.

    Args:
        directory: All targets.
        service: The service.
        now: The present time, steady seconds.
        tried: Lifetimes that this request went to already.

    Returns:
        The healthy ones; where there is none, all that may get work.
    """
    allowed = [
        target
        for target in directory.targets.values()
        if target.announced.service == service
        and target.announced.lifetime not in tried
        and may_get_work(target, now)
    ]
    listed = [target for target in allowed if target.gone_at is None] or allowed
    return [target for target in listed if is_healthy(target, now)] or listed


def note_refused(target: Target, now: float) -> None:
    """Take note that nobody listens at a target's address: its process is gone."""
    target.failures = max(target.failures, FAILURES_TO_REST)
    note_broken(target, now)


def note_broken(target: Target, now: float) -> None:
    """Take note of a connection that could not be made or broke."""
    target.failures += 1
    note_fault(target, True)
    if target.failures >= FAILURES_TO_REST:
        doublings = min(8, target.failures - FAILURES_TO_REST)
        target.backoff_until = now + min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)


def note_heard(target: Target, now: float) -> None:
    """Take note that something came of a target; a silent one is used again."""
    if silence.note_heard(target.liveness, now):
        note_answered(target)


def note_silent(target: Target, now: float) -> None:
    """Take note that a target has fallen silent; it rests."""
    silence.note_silent(target.liveness, now)
    note_refused(target, now)


def note_reported_silent(target: Target, now: float) -> bool:
    """Take note that another entry found a target silent; whether that is believed.

    It is not where this entry has heard of the target since.
    """
    is_heard = now - target.liveness.heard_at < silence.MIN_SILENCE_S
    if is_heard or now < target.backoff_until:
        return False
    note_refused(target, now)
    return True


def note_answered(target: Target) -> None:
    """Take note of a whole answer."""
    target.failures = 0
    target.refusals = 0
    target.backoff_until = 0.0


def note_fault(target: Target, faulty: bool) -> None:
    """Take note of whether an answer was a fault of the target's own."""
    target.faults += FAULT_SMOOTHING * ((1.0 if faulty else 0.0) - target.faults)


def note_full(target: Target, now: float, rests_longer: bool = True) -> None:
    """Take note that a target turned a request away; it rests, longer each time."""
    doublings = target.refusals if rests_longer else 0
    rest_s = min(MAX_FULL_BACKOFF_S, FIRST_FULL_BACKOFF_S * 2**doublings)
    target.refusals += 1
    target.full_until = max(target.full_until, now + rest_s)
