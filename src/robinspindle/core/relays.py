"""Which gateway passes news on for which: groups of gateways and their relays.

Were each gateway to tell all others, what one does would grow with their number. So the
gateways of an availability zone form groups. In each, one is the relay: the others tell
it alone; it adds their news up, exchanges the sum with the relays of the other groups
and passes theirs on to its group. A datagram from one gateway to another takes at most
three hops.

Nobody elects a relay. All order the members of a group alike, each chooses for itself
the first that answers it, and whoever is asked serves. Two relays in one group do no
harm, since each speaks for those alone that tell it their news.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

GROUP_MEMBERS = 16
"""The most gateways in a group. A relay hears its group and the other relays: with 300
gateways in five zones 34 senders, where one relay a zone would hear 64."""

RELAY_SILENCE_TIMEOUT_S = 0.6
"""How long a relay may stay silent before the next is chosen, seconds: three of the
longest intervals between its datagrams, so that two may be lost."""

RELAY_ECHO_TIMEOUT_S = 1.2
"""How long a relay may be heard without having heard us, seconds: twice as long, as it
takes two datagrams to know."""

RELAY_RETRY_DELAY_S = 3.0
"""How long a relay that failed is passed over, seconds, also where it is heard again:
one that is heard but deaf would otherwise be tried every second."""

MIN_INTERVAL_S = 0.02
"""Least time between two tellings, seconds: about the time in which a prompt is read,
so that a belief is at most one prompt behind."""

RELAY_RATE = 200.0
"""Datagrams that a relay sends in a second at the most, and receives: half of what each
gateway sent when all told all others, and the interval that follows from it for 68
gateways in five zones is 0.1 s."""


@dataclass(frozen=True)
class Member:
    """A gateway, as it introduces itself.

    Attributes:
        name: Its name.
        host: IP number at which it takes datagrams.
        port: The port.
        zone: Its availability zone.
        capacity: Its processor's speed against one full core.
    """

    name: str
    host: str
    port: int
    zone: str = ""
    capacity: float = 1.0


@dataclass(frozen=True)
class Groups:
    """The groups that all known gateways form.

    Attributes:
        ranked: Names of each group's members, the first choice as relay first.
        group_numbers: The number of each gateway's group, by name.
    """

    ranked: tuple[tuple[str, ...], ...] = ()
    group_numbers: dict[str, int] = field(default_factory=dict)


@dataclass
class RelayContact:
    """What is known of one gateway as a relay.

    Attributes:
        heard_at: When it was heard as a relay, steady seconds.
        echoed_at: When it last showed that it had heard us, steady seconds.
        failed_at: When it was given up, steady seconds.
    """

    heard_at: float = -math.inf
    echoed_at: float = -math.inf
    failed_at: float = -math.inf


@dataclass
class RelayChoice:
    """Whom a gateway tells its news to.

    Attributes:
        relay: Name of the relay; empty before the first choice.
        since: Since when, steady seconds.
        contacts: What is known of possible relays, by name.
    """

    relay: str = ""
    since: float = -math.inf
    contacts: dict[str, RelayContact] = field(default_factory=dict)


def encode_member(member: Member) -> bytes:
    """Write what a gateway tells of itself, without its name."""
    text = f"{member.host}:{member.port} {member.zone} {member.capacity:g}"
    return text.encode()


def decode_member(name: str, value: bytes) -> Member | None:
    """Read what a gateway tells of itself; None for what can't be read.

    The address alone is enough: an earlier release tells no more.
    """
    words = value.decode("utf-8", "replace").split(" ")
    host, _, port = words[0].rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        return None
    zone = words[1] if len(words) > 1 else ""
    try:
        capacity = float(words[2]) if len(words) > 2 else 1.0
    except ValueError:
        return None
    return Member(name, host, int(port), zone, capacity)


def make_groups(members: Iterable[Member]) -> Groups:
    """Divide gateways into groups, each within one availability zone.

    Those with the most capacity are dealt out first, so that each group has one of
    them as its first choice: a relay does as much as its group and the other relays
    together.
    """
    zones: dict[str, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    ranked: list[tuple[str, ...]] = []
    for _, inside in sorted(zones.items()):
        inside.sort(key=lambda member: (-member.capacity, member.name))
        count = math.ceil(len(inside) / GROUP_MEMBERS)
        ranked += [
            tuple(member.name for member in inside[start::count])
            for start in range(count)
        ]
    of = {name: number for number, names in enumerate(ranked) for name in names}
    return Groups(tuple(ranked), of)


def find_interval(groups: Groups) -> float:
    """Find the least time between two tellings, seconds; the same for all gateways."""
    largest = max((len(names) for names in groups.ranked), default=1)
    others = len(groups.ranked) - 1
    return max(MIN_INTERVAL_S, (largest - 1 + others) / RELAY_RATE)


def note_heard(choice: RelayChoice, name: str, now: float, has_heard_us: bool) -> None:
    """Take note that a gateway was heard as a relay.

    Args:
        choice: What is known of relays.
        name: The gateway.
        now: The present time, steady seconds.
        has_heard_us: Whether it shows that it has heard more of us than before.
    """
    contact = choice.contacts.setdefault(name, RelayContact())
    contact.heard_at = now
    if has_heard_us:
        contact.echoed_at = now


def choose_relay(
    choice: RelayChoice, ranked: tuple[str, ...], own: str, now: float
) -> bool:
    """Choose whom a gateway tells its news to: the first in order that has not failed.

    Args:
        choice: The choice so far; changed in place.
        ranked: The members of the gateway's group in order.
        own: The gateway's own name; who comes to itself is a relay.
        now: The present time, steady seconds.

    Returns:
        Whether the choice changed.
    """
    _give_up_silent(choice, own, now)
    relay = next(
        (name for name in ranked if name == own or _may_relay(choice, name, now)), own
    )
    if relay == choice.relay:
        return False
    choice.relay, choice.since = relay, now
    return True


def _give_up_silent(choice: RelayChoice, own: str, now: float) -> None:
    """Give the present relay up if it is silent or deaf."""
    if choice.relay in ("", own):
        return
    contact = choice.contacts.setdefault(choice.relay, RelayContact())
    is_silent = now - max(contact.heard_at, choice.since) > RELAY_SILENCE_TIMEOUT_S
    is_deaf = now - max(contact.echoed_at, choice.since) > RELAY_ECHO_TIMEOUT_S
    if is_silent or is_deaf:
        contact.failed_at = now


def _may_relay(choice: RelayChoice, name: str, now: float) -> bool:
    contact = choice.contacts.get(name)
    if contact is None or contact.failed_at == -math.inf:
        return True
    is_back = contact.heard_at > contact.failed_at
    return is_back and now - contact.failed_at > RELAY_RETRY_DELAY_S
