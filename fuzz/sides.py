"""One gateway's side of the news among gateways, in virtual time."""

import asyncio
import random
from typing import Protocol

from robinspindle.core.peerdigests import Digest, Facts, apply_digest
from robinspindle.peerfacts import PeerFacts
from robinspindle.peers import Peers

LOSS = 0.03
"""Share of datagrams that are lost."""


class SharedWorld(Protocol):
    """What all sides share.

    Attributes:
        rng: Draws everything.
        trouble: Names of what is wrong now; ``peers cut NAME`` among them, and ``whole
            cut NAME`` for who is cut off from the store too.
    """

    rng: random.Random
    trouble: set[str]

    @property
    def now(self) -> float:
        """The present time, seconds."""


class Side:
    """A gateway that tells peers facts, hears theirs, and may be frozen.

    Attributes:
        frozen_until: Until when nothing is done, seconds.
        step_s: How far its time of day is set wrong, seconds.
        delays: How long datagrams are under way, seconds, the choices.
    """

    peers: Peers
    facts: PeerFacts

    def __init__(self, world: SharedWorld, name: str, delays: tuple[float, ...]):
        self.world = world
        self.name = name
        self.delays = delays
        self.frozen_until = 0.0
        self.step_s = 0.0

    async def wait_while_frozen(self) -> None:
        """Go on only after a freeze."""
        while self.world.now < self.frozen_until:
            await asyncio.sleep(self.frozen_until - self.world.now + 0.001)

    def tell(self, other: "Side") -> None:
        """Send a peer a datagram, which may be lost."""
        world = self.world
        facts = self.facts.describe(other.name)
        names = (self.name, other.name)
        cut = {f"{kind} cut {n}" for kind in ("peers", "whole") for n in names}
        cut &= world.trouble
        if facts is None or cut or world.rng.random() < LOSS:
            return
        digest = Digest(self.name, self.peers.started, self.peers.number, [], [])
        digest.is_relay = self.peers.is_relay
        loop = asyncio.get_running_loop()
        delay_s = world.rng.choice(self.delays)
        loop.call_later(delay_s, other.hear, self.name, digest, facts)

    def hear(self, sender: str, digest: Digest, facts: Facts) -> None:
        """Take a datagram in; through a freeze it waits in a buffer."""
        if not self.is_alive():
            return
        left_s = self.frozen_until - self.world.now
        if left_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(left_s + 0.001, self.hear, sender, digest, facts)
            return
        apply_digest(self.peers.views, digest, self.world.now, lambda lifetime: None)
        self.facts.take(sender, facts)

    def is_alive(self) -> bool:
        """Whether this life goes on."""
        return True


def begin_trouble(
    world: SharedWorld, side: Side, kind: str, seconds: float, most_step_s: float
) -> None:
    """Begin a freeze, a step of a clock, or a trouble of the world, for a while.

    Args:
        world: The world.
        side: Whom a freeze or a step strikes.
        kind: ``freeze``, ``step``, or the name of a trouble.
        seconds: How long it lasts.
        most_step_s: How far a clock is set, back or ahead, seconds.
    """
    loop = asyncio.get_running_loop()
    if kind == "freeze":
        side.frozen_until = world.now + seconds
    elif kind == "step":
        side.step_s = world.rng.choice((-most_step_s, most_step_s))
        loop.call_later(seconds, setattr, side, "step_s", 0.0)
    else:
        world.trouble.add(kind)
        loop.call_later(seconds, world.trouble.discard, kind)
