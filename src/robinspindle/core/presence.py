"""Since when each other gateway has been reachable without interruption."""

from collections.abc import Iterable
from dataclasses import dataclass, field

REMEMBERED_S = 15.0
"""How long an unreachable gateway is remembered, seconds: longer than any network
partition or suspension after which it may return with counts that no other gateway
has."""


@dataclass
class Presence:
    """When one other gateway was reachable.

    Attributes:
        since: Since when it has been reachable without interruption, monotonic seconds.
        heard_at: When it was last reachable, monotonic seconds.
    """

    since: float
    heard_at: float


@dataclass
class Presences:
    """When the other gateways were reachable.

    Attributes:
        known: The gateways that were reachable recently, by name.
        checked_at: When the reachable gateways were last noted, monotonic seconds; None
            before the first time.
        first_checked_at: When they were first noted, monotonic seconds; which gateways
            were reachable before is not known.
    """

    known: dict[str, Presence] = field(default_factory=dict)
    checked_at: float | None = None
    first_checked_at: float | None = None


def note_heard(presences: Presences, names: Iterable[str], now: float) -> None:
    """Note the gateways that are reachable now; forget the long unreachable ones."""
    if presences.first_checked_at is None:
        presences.first_checked_at = now
    for name in names:
        known = presences.known.get(name)
        if known is None or known.heard_at != presences.checked_at:
            presences.known[name] = Presence(now, now)
        else:
            known.heard_at = now
    presences.checked_at = now
    presences.known = {
        name: known
        for name, known in presences.known.items()
        if now - known.heard_at <= REMEMBERED_S
    }


def count_heard_within(presences: Presences, now: float, within_s: float) -> int:
    """Count the gateways that were reachable within the last `within_s` seconds."""
    return sum(
        now - presence.heard_at <= within_s for presence in presences.known.values()
    )


def hears_all(
    presences: Presences, named: Iterable[str], now: float, min_s: float
) -> bool:
    """Whether all gateways that were reachable recently have been back for a while.

    Args:
        presences: When they were reachable.
        named: All gateways that should exist. A gateway that has just started remembers
            none, and expects these for the first `REMEMBERED_S` seconds.
        now: The time that was passed to the last call of `note_heard`, monotonic
            seconds.
        min_s: How long each must have been reachable without interruption, seconds.
    """
    names = set(presences.known)
    first_checked_at = (
        now if presences.first_checked_at is None else presences.first_checked_at
    )
    if now - first_checked_at < REMEMBERED_S:
        names |= set(named)
    return all(_is_present(presences, name, now, min_s) for name in names)


def _is_present(presences: Presences, name: str, now: float, min_s: float) -> bool:
    known = presences.known.get(name)
    if known is None or known.heard_at != presences.checked_at:
        return False
    return now - known.since >= min_s
