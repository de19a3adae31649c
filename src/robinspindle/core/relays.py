"""Groups of gateways, and the choice of the relay in each group.

If each gateway sent its state to every other one, the work of each would grow with
their number. The gateways of an availability zone therefore form groups. One member of
each group is the relay: the other members send their digests to it alone. It
aggregates them, exchanges the totals with the relays of the other groups and forwards
the other groups' totals to its own group. Information takes at most three hops from
one gateway to another.

There is no election. All gateways rank the members of a group in the same order, each
one chooses the first member that answers it, and any gateway acts as relay for those
that send to it. Two relays in one group do no harm, as each one aggregates the digests
of only those gateways that send to it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.decoding import parse_address, parse_amount
from robinspindle.exceptions import BadDocumentError

GROUP_MEMBERS = 16
"""Maximum number of gateways in a group. A relay receives from its group and from the
other relays: with one relay for each zone, it would receive from all of a large
zone."""

RELAY_SILENCE_TIMEOUT_S = 0.6
"""How long a relay may send nothing before the next one is chosen, seconds: three of
the longest intervals between its datagrams, so that two may be lost."""

RELAY_ECHO_TIMEOUT_S = 1.2
"""How long a relay may go without acknowledging new datagrams, seconds: twice the
silence timeout, as an acknowledgement takes two datagrams, there and back."""

RELAY_RETRY_DELAY_S = 3.0
"""How long a failed relay is not chosen again, seconds, even if it sends datagrams
again: a relay that sends but doesn't receive would otherwise be retried every
second."""

MAX_INTERVAL_S = 0.2
"""Maximum interval between two digests, seconds; also the interval without news."""

MIN_INTERVAL_S = 0.02
"""Minimum interval between two digests, seconds: about the time to prefill a prompt, so
that the estimates of other gateways are at most one prompt behind."""

RELAY_RATE = 200.0
"""Maximum number of datagrams per second that a relay sends, and that it receives."""

MAX_INTRODUCTION_BYTES = 1024
"""Longest announcement of a gateway, bytes; a usual one has about 30."""

NEWS_LINK_SHARE = 0.15
"""Share of a gateway's own link that digests may use: requests, responses and the store
need the rest."""


@dataclass(frozen=True)
class Member:
    """A gateway, as it announces itself.

    Attributes:
        name: Its name.
        host: IP address at which it receives datagrams.
        port: UDP port at which it receives datagrams.
        zone: Its availability zone.
        capacity: Its CPU speed, relative to one full core.
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
        ranked: Names of the members of each group, the preferred relay first.
        group_numbers: The number of each gateway's group, by the gateway's name.
    """

    ranked: tuple[tuple[str, ...], ...] = ()
    group_numbers: dict[str, int] = field(default_factory=dict)


@dataclass
class RelayContact:
    """What is known of one gateway in its role as relay.

    Attributes:
        heard_at: When the last datagram came from it as a relay, monotonic seconds.
        echoed_at: When it last acknowledged a new datagram of this gateway, monotonic
            seconds.
        failed_at: When it last failed, monotonic seconds.
    """

    heard_at: float = -math.inf
    echoed_at: float = -math.inf
    failed_at: float = -math.inf


@dataclass
class RelayChoice:
    """The relay to which a gateway sends its digests.

    Attributes:
        relay: Name of the relay; empty before the first choice.
        since: When it was chosen, monotonic seconds.
        contacts: What is known of possible relays, by name.
    """

    relay: str = ""
    since: float = -math.inf
    contacts: dict[str, RelayContact] = field(default_factory=dict)


def encode_member(member: Member) -> bytes:
    """Encode what a gateway announces of itself, without its name."""
    zone = member.zone.replace("%", "%25").replace(" ", "%20")
    text = f"{member.host}:{member.port} {zone} {member.capacity:g}"
    return text.encode()


def decode_member(name: str, value: bytes) -> Member | None:
    """Decode what a gateway announces of itself; None if it is malformed.

    The zone and the capacity may be missing, as an earlier release announces only its
    address.
    """
    if len(value) > MAX_INTRODUCTION_BYTES:
        return None
    words = value.decode("utf-8", "replace").split(" ")
    try:
        address = parse_address(words[0])
    except BadDocumentError:
        return None
    zone = words[1].replace("%20", " ").replace("%25", "%") if len(words) > 1 else ""
    capacity = parse_amount(words[2]) if len(words) > 2 else 1.0
    if capacity is None:
        return None
    return Member(name, address.host, address.port, zone, capacity)


def make_groups(members: Iterable[Member]) -> Groups:
    """Divide gateways into groups, each within one availability zone.

    The gateways with the most capacity are distributed over the groups first, so that
    each group has one of them as its preferred relay: a relay does as much work as its
    group and the other relays together.
    """
    zones: dict[str, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    ranked: list[tuple[str, ...]] = []
    for _, zone_members in sorted(zones.items()):
        zone_members.sort(key=lambda member: (-member.capacity, member.name))
        count = math.ceil(len(zone_members) / GROUP_MEMBERS)
        ranked += [
            tuple(member.name for member in zone_members[start::count])
            for start in range(count)
        ]
    numbers = {name: number for number, names in enumerate(ranked) for name in names}
    return Groups(tuple(ranked), numbers)


def find_interval(groups: Groups) -> float:
    """Find the minimum interval between two digests, seconds; the same at all gateways.

    It is chosen for the largest group, whose relay sends the most datagrams.
    """
    largest = max((len(names) for names in groups.ranked), default=1)
    others = len(groups.ranked) - 1
    return max(MIN_INTERVAL_S, (largest - 1 + others) / RELAY_RATE)


def stretch_interval(
    interval_s: float, sent_bytes: int, link_bytes_per_s: float
) -> float:
    """Stretch the interval between two digests for a slow link, seconds.

    Args:
        interval_s: The interval on a fast link, seconds.
        sent_bytes: Size of all datagrams that were sent at the last interval's end.
        link_bytes_per_s: Rate of the gateway's own link.
    """
    paced_s = sent_bytes / (NEWS_LINK_SHARE * link_bytes_per_s)
    return max(interval_s, min(paced_s, MAX_INTERVAL_S))


def note_heard(choice: RelayChoice, name: str, now: float, has_heard_us: bool) -> None:
    """Note that a datagram came from a gateway that acts as a relay.

    Args:
        choice: What is known of relays; changed in place.
        name: The gateway.
        now: The current time, monotonic seconds.
        has_heard_us: Whether it acknowledges a newer datagram of this gateway than
            before.
    """
    contact = choice.contacts.setdefault(name, RelayContact())
    contact.heard_at = now
    if has_heard_us:
        contact.echoed_at = now


def choose_relay(
    choice: RelayChoice, ranked: tuple[str, ...], own: str, now: float
) -> bool:
    """Choose the relay of a gateway: the first one in rank order that has not failed.

    Args:
        choice: The current choice; changed in place.
        ranked: The members of the gateway's group in rank order.
        own: The gateway's own name; a gateway that chooses itself is a relay.
        now: The current time, monotonic seconds.

    Returns:
        Whether the choice changed.
    """
    _fail_unreachable(choice, own, now)
    relay = next(
        (name for name in ranked if name == own or _is_eligible(choice, name, now)), own
    )
    if relay == choice.relay:
        return False
    choice.relay, choice.since = relay, now
    return True


def _fail_unreachable(choice: RelayChoice, own: str, now: float) -> None:
    """Mark the current relay as failed if it sends nothing or receives nothing."""
    if choice.relay in ("", own):
        return
    contact = choice.contacts.setdefault(choice.relay, RelayContact())
    has_timed_out = now - max(contact.heard_at, choice.since) > RELAY_SILENCE_TIMEOUT_S
    is_unacknowledged = (
        now - max(contact.echoed_at, choice.since) > RELAY_ECHO_TIMEOUT_S
    )
    if has_timed_out or is_unacknowledged:
        contact.failed_at = now


def _is_eligible(choice: RelayChoice, name: str, now: float) -> bool:
    contact = choice.contacts.get(name)
    if contact is None or contact.failed_at == -math.inf:
        return True
    is_back = contact.heard_at > contact.failed_at
    return is_back and now - contact.failed_at > RELAY_RETRY_DELAY_S
