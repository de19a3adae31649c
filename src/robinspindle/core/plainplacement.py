"""Decides whether a request to a plain service leaves its availability zone.

A gateway knows only its own requests at the targets of a plain service. It takes the
other gateways of its zone to be as busy as itself, which holds in the mean as callers
are spread over them.
"""

import math
import random
from dataclasses import dataclass

from robinspindle.core.health import find_slowness
from robinspindle.core.selection import FAULT_WEIGHT, choose_target
from robinspindle.core.targets import Target
from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.core.zoneplacement import Leaving
from robinspindle.core.zoneshares import ZoneShare, draws_leave, note_wanted

ROOM_SHARE = 0.6
"""Share of the slots at home up to which nothing leaves: requests that come in clumps
wait for one another beyond it."""

OVERLOAD_SHARE = 1.2
"""Share of the slots at home at which all that may leave wants to: the queue then takes
longer than another zone."""

LOAD_LAG_S = 1.0
"""Time over which a gateway's own requests at home are averaged, seconds."""


@dataclass
class HomeLoad:
    """How busy the targets of a plain service at home are.

    Attributes:
        in_flight: Moving average of the gateway's own requests there.
        noted_at: When it was last updated, monotonic seconds.
    """

    in_flight: float = 0.0
    noted_at: float = -math.inf


@dataclass(frozen=True)
class PlainView:
    """What a decision about leaving the zone depends on, besides the targets.

    Attributes:
        zone: The gateway's availability zone.
        gateways: Gateways of the zone, with this one.
        terms: The operator's terms.
        share: How much of the service's requests leaves; changed by decisions.
        load: How busy the zone is; changed by decisions.
        rng: Source of random choices.
    """

    zone: str
    gateways: int
    terms: ZoneTerms
    share: ZoneShare
    load: HomeLoad
    rng: random.Random


@dataclass(frozen=True)
class PlainChoice:
    """The target of a request, and why it leaves the zone; empty if it doesn't."""

    target: Target
    leaving: str = ""


def choose_plain_target(
    targets: list[Target], now: float, view: PlainView
) -> PlainChoice:
    """Choose the target of a plain service that gets a request.

    Args:
        targets: The targets that may get it, at least one.
        now: The current time, monotonic seconds.
        view: What the decision about leaving depends on.
    """
    home = [target for target in targets if target.announced.zone == view.zone]
    if not home:
        target = choose_target(targets, view.zone, now, view.rng)
        return PlainChoice(target, Leaving.NO_TARGET)
    load_share = _estimate_load_share(home, now, view)
    beyond = (load_share - ROOM_SHARE) / (OVERLOAD_SHARE - ROOM_SHARE)
    probability = min(view.terms.most_share, max(0.0, beyond))
    note_wanted(view.share, now, probability)
    away = [target for target in targets if _takes_guest(target, view)]
    if not away or not draws_leave(view.share, probability, view.terms, view.rng):
        return PlainChoice(choose_target(home, view.zone, now, view.rng))
    target = choose_target(away, view.zone, now, view.rng)
    return PlainChoice(target, Leaving.SOONER)


def _takes_guest(target: Target, view: PlainView) -> bool:
    """Check whether a target elsewhere has room for one more guest.

    Only the gateway's own requests there are known, so it may be fuller.
    """
    if target.announced.zone == view.zone:
        return False
    return target.in_flight < view.terms.guest_load_share * target.announced.slots


def _estimate_load_share(home: list[Target], now: float, view: PlainView) -> float:
    """Estimate the share of their slots that the targets at home need."""
    in_flight = sum(target.in_flight for target in home)
    load = view.load
    elapsed_s = min(max(0.0, now - load.noted_at), LOAD_LAG_S / 2)
    weight = 1.0 - math.exp(-elapsed_s / LOAD_LAG_S)
    load.in_flight += weight * (in_flight - load.in_flight)
    load.noted_at = now
    others = (view.gateways - 1) * load.in_flight
    slots = sum(_count_sound_slots(target, now) for target in home)
    return (in_flight + others) / max(slots, 0.1)


def _count_sound_slots(target: Target, now: float) -> float:
    """Count a target's slots as far as it is neither slow nor faulty."""
    sound_share = max(0.0, 1.0 - FAULT_WEIGHT * target.faults)
    return target.announced.slots * sound_share / find_slowness(target, now)
