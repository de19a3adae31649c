"""Kinds of requests with prompts of very different lengths."""

import math
import random
from dataclasses import dataclass

from robinspindle.core.forwarding import Part
from standins.rawhttp import RawRequest

SKEW = 1.5
"""Shared parts are chosen by a power of a random number: some are asked for more."""


@dataclass(frozen=True)
class Length:
    """How long a part of a prompt is: lognormal, cut off.

    Attributes:
        mean: Tokens.
        spread: Deviation of the logarithm.
        most: The most tokens.
    """

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> int:
        """Draw a length of at least one token."""
        mu = math.log(self.mean) - self.spread**2 / 2
        return max(1, round(min(self.most, rng.lognormvariate(mu, self.spread))))


@dataclass(frozen=True)
class Kind:
    """One kind of request among several.

    Attributes:
        name: Its name.
        per_s: Requests a second.
        rank: The operator's rank; 0 is the highest.
        latency_objective_s: The time in which the first event should come, seconds.
        patience_s: When callers give up if no event has come, seconds.
        shared: Its shared parts in order: how long, and among how many.
        own: How long the part is that no other request has.
    """

    name: str
    per_s: float
    rank: int
    latency_objective_s: float
    patience_s: float
    shared: tuple[tuple[Length, int], ...]
    own: Length


def draw_parts(kind: Kind, rng: random.Random) -> tuple[Part, ...]:
    """Draw the parts of one prompt; the last is its own."""
    parts = []
    for place, (length, among) in enumerate(kind.shared):
        id = f"{kind.name}/{place}/{int(among * rng.random() ** SKEW)}"
        # A shared part is as long each time.
        parts.append(Part(id, length.draw(random.Random(id))))
    parts.append(Part(f"o{rng.getrandbits(64):x}", kind.own.draw(rng)))
    return tuple(parts)


def make_matchmaking_kinds(times: float, scale: float = 1.0) -> tuple[Kind, ...]:
    """Make the three kinds of prompts of a matchmaking deployment of 21 engines.

    Args:
        times: The load, as a multiple of the usual one.
        scale: The share of its engines that are there: requests and what they share
            are fewer by as much.
    """
    grids = Length(13_300, 0.7, 39_900)
    leagues, clubs = Length(2_520, 0.4, 6_290), Length(3_780, 0.7, 11_300)
    rules, lobbies = Length(210, 0.4, 524), Length(140, 0.7, 419)
    return (
        Kind(
            "season-grid", 29.8 * times * scale, 2, 0.663, 2.652,
            ((grids, round(269 * scale)),), Length(3_720, 1.1, 53_200),
        ),
        Kind(
            "club-night-grid", 14.6 * times * scale, 1, 0.545, 2.18,
            ((leagues, 4), (clubs, round(132 * scale))), Length(2_890, 1.0, 39_600),
        ),
        Kind(
            "quick-pair", 57.9 * times * scale, 0, 0.326, 2.0,
            ((rules, round(40 * scale)), (lobbies, round(349 * scale))),
            Length(1_110, 1.0, 3_790),
        ),
    )  # fmt: skip


def parse_parts(request: RawRequest) -> list[tuple[str, int]]:
    """Parse the ids and the tokens of the parts of a request's prompt."""
    words = request.headers.get("x-prompt-prefix", "").split(",")
    split = [word.partition(":") for word in words if word]
    return [(id, int(tokens)) for id, _, tokens in split]
