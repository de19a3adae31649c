"""The limits that targets name, and the turns that this gateway has by them."""

from robinspindle.core import ratelimits
from robinspindle.core.obstacles import Obstacle, find_send_obstacle
from robinspindle.core.ratelimits import Sharing
from robinspindle.core.targets import Directory, Target

MOST_SHARES = 4096
"""Shares of limits that are remembered, as finding one takes a hash a gateway."""


class TargetLimits:
    """Keeps this gateway's sends to targets within their limits.

    Attributes:
        sharing: Which gateways share the limits.
    """

    def __init__(self, directory: Directory):
        self.sharing = Sharing()
        self._directory = directory
        self._shares: dict[tuple[str, float, Sharing], float] = {}

    def find_obstacle(self, target: Target, now: float) -> Obstacle | None:
        """Find what keeps this gateway from choosing a target; None if nothing."""
        share_per_s = self._find_share(target) if target.stated.limit else None
        return find_send_obstacle(target, now, share_per_s)

    def take_turn(self, target: Target, now: float) -> Obstacle | None:
        """Take one request out of what a target's limit allows, if any is left.

        Returns:
            What keeps the target from getting one; None if one was taken.
        """
        obstacle = self.find_obstacle(target, now)
        if obstacle is None and target.stated.limit is not None:
            ratelimits.take(target.stated.limit, self._find_share(target), now)
        return obstacle

    def list_named(self, now: float) -> dict[str, float]:
        """List the limits that targets have named lately in their answers here."""
        limits = ((name, t.stated.limit) for name, t in self._directory.targets.items())
        return {
            lifetime: limit.per_s
            for lifetime, limit in limits
            if limit is not None and ratelimits.is_news(limit, now)
        }

    def note_told(self, limits: dict[str, float], now: float) -> None:
        """Take note of limits that targets have named in answers to peers."""
        for lifetime, per_s in limits.items():
            target = self._directory.targets.get(lifetime)
            if target is not None:
                target.stated.limit = ratelimits.note_told(
                    target.stated.limit, per_s, now
                )

    def _find_share(self, target: Target) -> float:
        """Find the requests per second that this gateway may send by a limit."""
        lifetime, per_s = target.announced.lifetime, target.stated.limit.per_s
        key = (lifetime, per_s, self.sharing)
        if key not in self._shares:
            if len(self._shares) >= MOST_SHARES:
                self._shares.clear()
            self._shares[key] = ratelimits.find_share(per_s, lifetime, self.sharing)
        return self._shares[key]
