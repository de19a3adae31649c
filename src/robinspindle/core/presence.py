"""Since when each other gateway has been heard without a gap."""

from collections.abc import Iterable
from dataclasses import dataclass, field

REMEMBERED_S = 15.0
"""How long a gateway that fell silent is remembered, seconds: longer than a cut or a
freeze may last that it comes back from with counts that nobody else has."""


@dataclass
class Presence:
    """When one other gateway was heard.

    Attributes:
        since: Since when it has been heard without a gap, steady seconds.
        heard_at: When it was last heard, steady seconds.
    """

    since: float
    heard_at: float


@dataclass
class Presences:
    """When the other gateways were heard.

    Attributes:
        known: Those that were heard lately, by name.
        checked_at: When it was last looked who is heard, steady seconds; None before.
        first_checked_at: When it was first looked; who was heard before is not known.
    """

    known: dict[str, Presence] = field(default_factory=dict)
    checked_at: float | None = None
    first_checked_at: float | None = None


def note_heard(presences: Presences, names: Iterable[str], now: float) -> None:
    """Take note of who is heard at one look, and forget who was not for long."""
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
    """Count the gateways that were heard within a time, seconds."""
    return sum(now - one.heard_at <= within_s for one in presences.known.values())


def hears_all(
    presences: Presences, named: Iterable[str], now: float, least_s: float
) -> bool:
    """Whether all gateways that were heard lately have been back for a while.

    Args:
        presences: When they were heard.
        named: All that there should be. Who looks for the first time remembers nobody,
            and takes these for a while.
        now: The time of the last look, steady seconds.
        least_s: How long each has to be heard without a gap, seconds.
    """
    names = set(presences.known)
    first_checked_at = (
        now if presences.first_checked_at is None else presences.first_checked_at
    )
    if now - first_checked_at < REMEMBERED_S:
        names |= set(named)
    return all(_is_back(presences, name, now, least_s) for name in names)


def _is_back(presences: Presences, name: str, now: float, least_s: float) -> bool:
    known = presences.known.get(name)
    if known is None or known.heard_at != presences.checked_at:
        return False
    return now - known.since >= least_s
