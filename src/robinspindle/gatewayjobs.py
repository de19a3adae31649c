"""What a gateway does at each tick, besides what its tasks do."""

from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.core import targets
from robinspindle.core.freshness import Freshness, must_renew
from robinspindle.core.ratelimits import Sharing, choose_sharing
from robinspindle.core.targets import Target
from robinspindle.fleet import Fleet
from robinspindle.following import KeyedStore
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.guard import Guard
from robinspindle.housekeeping import Job
from robinspindle.introduction import Introduction
from robinspindle.logs import Log
from robinspindle.peers import Peers, list_heard
from robinspindle.relay import Relay
from robinspindle.storenews import StoreNews
from robinspindle.zonetraffic import ZoneTraffic


@dataclass(frozen=True)
class Housekeeper:
    """Looks after what changes with time alone.

    Attributes:
        fleet: What is kept for the targets.
        peers: The other gateways.
        introduction: Tells whether all that the store holds of them was read.
        store: Counts what it has brought.
        store_news: Has held polls looked after.
        freshness: The age of the configuration.
        guard: Knows which requests crash targets.
        relay: Looks after what runs at targets that leave.
        traffic: Bytes between availability zones.
        metrics: Told which targets are gone.
        find_settings: Tells the settings in force.
        log: Takes log lines.
    """

    fleet: Fleet
    peers: Peers
    introduction: Introduction
    store: KeyedStore
    store_news: StoreNews
    freshness: Freshness
    guard: Guard
    relay: Relay
    traffic: ZoneTraffic
    metrics: GatewayMetrics
    find_settings: Callable[[], GatewaySettings]
    log: Log

    def list_jobs(self) -> list[Job]:
        """List the jobs of each tick, in their order."""
        return [
            Job("look at peers", self._look_at_peers),
            Job("look after polls", self._look_after_polls),
            Job("forget targets", self._forget_targets),
            Job("notice silence", self._notice_silence),
            Job("look after leaving", self._look_after_leaving),
            Job("settle crashes", self.guard.settle),
            Job("log traffic", self._log_traffic),
        ]

    def _look_at_peers(self, now: float) -> None:
        self.fleet.gateways = len(self.peers.members) + 1
        heard = list_heard(self.peers)
        self.fleet.hears_all_gateways = self._hears_all_gateways(heard)
        self.fleet.limits.sharing = self._choose_sharing(heard)

    def _hears_all_gateways(self, heard: list[str]) -> bool:
        return self.introduction.is_read and self.peers.members.keys() <= set(heard)

    def _choose_sharing(self, heard: list[str]) -> Sharing:
        """Choose who shares the limits that targets name."""
        if not self.introduction.is_read:
            return Sharing()
        members = list(self.peers.members)
        return choose_sharing(self.peers.name, heard, members)

    def _look_after_polls(self, now: float) -> None:
        self.store_news.look_after_relaying()
        if must_renew(self.freshness, now):
            self.store_news.look_after_configuration()

    def _forget_targets(self, now: float) -> None:
        for target in targets.drop_gone(self.fleet.directory, now):
            self.fleet.forget(target, now)
            self.metrics.forget_target(target.announced.lifetime)
            self.log("target is gone", target=target.announced.lifetime)

    def _notice_silence(self, now: float) -> None:
        if self.find_settings().policy.notices_silence:
            for target in self.fleet.leave_silent(now):
                self._log_silent(target, now)

    def _log_silent(self, target: Target, now: float) -> None:
        heard_at = target.liveness.heard_at
        self.log(
            "target is silent",
            target=target.announced.lifetime,
            heard_ms_ago=round((now - heard_at) * 1000) if heard_at > 0 else None,
            expected=len(target.liveness.expected),
            rests_ms=round((target.backoff_until - now) * 1000),
        )

    def _look_after_leaving(self, now: float) -> None:
        leave_s = self.find_settings().pledges.leave_s
        self.relay.look_after_leaving(now, leave_s)

    def _log_traffic(self, now: float) -> None:
        self.traffic.log_if_due(self.log, now, self.store.received_bytes)
