"""The targets of one gateway: what is known of them, and the connections to them."""

import math
from collections.abc import Callable

from robinspindle.connectionpool import ConnectionPool
from robinspindle.core import (
    health,
    prefillspeed,
    returns,
    silence,
    targetspeeds,
    versionroles,
)
from robinspindle.core.connectionshares import find_share
from robinspindle.core.engines import Engine, make_engine, note_earlier_cache
from robinspindle.core.forwarding import Part
from robinspindle.core.peerdigests import (
    NEVER_HEARD_MS,
    Cache,
    TargetLoad,
)
from robinspindle.core.routes import EngineSpec, RouteTable
from robinspindle.core.targets import PREFILL_ROLE, Directory, Target
from robinspindle.core.targetspeeds import SpeedSums
from robinspindle.core.versionhistory import VersionHistory, note_listed
from robinspindle.enginepaces import EnginePaces
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import DecodeHead, Traffic
from robinspindle.targetlimits import TargetLimits
from robinspindle.zonetraffic import Meter

GATEWAYS = 8
"""Gateways among which a target's connections are divided until they are known."""

DEFAULT_CONNECTIONS = 100
"""Connections of a target whose service is not in the configuration yet."""

UNKNOWN_ENGINE = EngineSpec(
    slots=0, cache_tokens=100_000, kv_retention_s=0.0, role_change_s=0.0
)
"""Stands for the engines of a service that is not in the configuration yet."""


SILENCE_NEWS_S = 0.5
"""How long a silence is told to the peers, seconds: several datagrams."""

HEARD_NEWS_S = 2.0
"""How long it is told when an engine was heard, seconds: as long as a silence that
anyone may be about to notice."""

MOST_TOLD_PARTS = 1000
"""Parts of one cache that are told, the most recently used: 20 KB, so that a datagram
stays far below 64 KB."""


class Fleet:
    """All targets of a gateway.

    Attributes:
        directory: The targets.
        table: The configuration in force, None before the first.
        table_at: When it came into force here, steady seconds.
        versions: The software versions that were listed.
        gateways: How many gateways share the targets' connections.
        hears_all_gateways: Whether it is known what each of them has under way.
        limits: Keeps sends within the limits that targets name.
        paces: How fast engines prefill.
        max_idle_s: How long a connection to a target may be idle at most, seconds.
        shares_speeds: Whether the gateways learn the engines' speeds together.
        knows_new_caches: Whether an engine that appears has placed nothing unseen: it
            has started after this gateway.
    """

    def __init__(
        self,
        directory: Directory,
        decode_head: DecodeHead,
        make_traffic: Callable[[Target], Traffic | None] = lambda target: None,
        make_meter: Callable[[Target], Meter | None] = lambda target: None,
    ):
        """Begin without connections.

        Args:
            directory: The targets.
            decode_head: Decodes the heads of their answers.
            make_traffic: Makes what is told of all that passes to and from a target.
            make_meter: Makes what counts the bytes to and from a target.
        """
        self.directory = directory
        self.table: RouteTable | None = None
        self.table_at = 0.0
        self.versions = VersionHistory()
        self.gateways = GATEWAYS
        self.hears_all_gateways = False
        self.limits = TargetLimits(directory)
        self.paces = EnginePaces()
        self.max_idle_s = math.inf
        self.shares_speeds = False
        self.knows_new_caches = False
        self._decode_head = decode_head
        self._make_traffic = make_traffic
        self._make_meter = make_meter
        self._pools: dict[str, ConnectionPool] = {}
        self._engines: dict[str, Engine] = {}
        self._told_caches: dict[str, list[Part]] = {}

    def apply_table(self, table: RouteTable, now: float) -> None:
        """Put a configuration in force; engines that are known get its memory."""
        self.table = table
        self.table_at = now
        for lifetime, engine in self._engines.items():
            target = self.directory.targets.get(lifetime)
            if target is not None:
                service = target.announced.service
                engine.cache_tokens = self.find_engine_spec(service).cache_tokens

    def list_usable(self, service: str, now: float, tried: set[str]) -> list[Target]:
        """List the targets of a service that may get a request."""
        found = health.list_usable(self.directory, service, now, tried)
        # A single entry without a role must not have prompts placed without regard to
        # what engines hold and do.
        found = [t for t in found if t.announced.role] or found
        total = self._count_connections(service)
        equal = find_share(total, self.gateways, None)
        # Each request under way holds a connection, and a target resets any more.
        return [
            target
            for target in found
            if (target.in_flight < equal or self._has_unused(target, total))
            and self.limits.find_obstacle(target, now) is None
        ]

    def _has_unused(self, target: Target, total: int) -> bool:
        """Whether other gateways leave connections of a target that one may use."""
        if not self.hears_all_gateways or not target.announced.role:
            return False
        others = self.find_engine(target).others_in_flight
        return target.in_flight < find_share(total, self.gateways, others)

    def find_return_s(self, service: str, now: float, version: str | None) -> float:
        """Find when a target of a service may get a request again, seconds.

        Args:
            service: The name of the service.
            now: The present time, steady seconds.
            version: The software version that the request needs; None for any.

        Returns:
            0 if one may get it now, or none is expected to.
        """
        found = returns.list_of_version(self.directory, service, version)
        waits = [self._find_wait_s(target, now) for target in found]
        waits.append(
            returns.find_version_return_s(self.directory, service, version, now)
        )
        return min((wait_s for wait_s in waits if math.isfinite(wait_s)), default=0.0)

    def _find_wait_s(self, target: Target, now: float) -> float:
        """Find when a target may get a request, also by its limit, seconds."""
        obstacle = self.limits.find_obstacle(target, now)
        limited_s = obstacle.until - now if obstacle else 0.0
        return max(limited_s, returns.find_return_s(target, now))

    def find_engine_spec(self, service: str) -> EngineSpec:
        """Find what the configuration says of a service's engines."""
        known = self.table.services.get(service) if self.table else None
        return known and known.engine or UNKNOWN_ENGINE

    def find_engine(self, target: Target) -> Engine | None:
        """Find what is believed of a target's engine; None for a plain service."""
        announced = target.announced
        if not announced.role:
            return None
        prefill_only = announced.role == PREFILL_ROLE
        engine = self._engines.get(announced.lifetime)
        if engine is None:
            engine = make_engine(
                prefill_only,
                self.find_engine_spec(announced.service).cache_tokens,
                self.paces.find(announced.service, prefill_only),
            )
            self._engines[announced.lifetime] = engine
            engine.is_cache_known = self.knows_new_caches
            if announced.lifetime in self._told_caches:
                note_earlier_cache(engine, self._told_caches.pop(announced.lifetime))
        if engine.prefill_only != prefill_only:
            engine.prefill_only = prefill_only
            engine.prefill_model = self.paces.find(announced.service, prefill_only)
        return engine

    def forget_learnt(self, peer: str) -> None:
        """Forget what a peer that fell silent has told of paces."""
        self.paces.forget_peer(peer)
        for engine in self._engines.values():
            targetspeeds.forget_peer(engine.speed, peer)

    def list_speeds(self, now: float) -> list[SpeedSums]:
        """Bring the engines' speeds up to date and list this gateway's samples."""
        if not self.shares_speeds:
            return []
        prefillspeed.update_all(self._engines.values(), now)
        speeds = {lifetime: e.speed for lifetime, e in self._engines.items()}
        return targetspeeds.list_told(speeds, now)

    def note_speeds(self, peer: str, speeds: list[SpeedSums], now: float) -> None:
        """Take note of how fast engines are for a peer."""
        if not self.shares_speeds:
            return
        for told in speeds:
            engine = self.find_engine_of(told.lifetime)
            if engine is not None:
                targetspeeds.note_told(engine.speed, peer, told, now)

    def find_engine_of(self, lifetime: str) -> Engine | None:
        """Find the engine of a lifetime, if it is known."""
        target = self.directory.targets.get(lifetime)
        return None if target is None else self.find_engine(target)

    def list_loads(self, now: float) -> list[TargetLoad]:
        """List what this gateway has under way at engines."""
        known = self.directory.targets
        return [
            _make_load(known[lifetime], engine, now)
            for lifetime, engine in self._engines.items()
            if lifetime in known and _is_news(known[lifetime], engine, now)
        ]

    def list_all_engines(self) -> list[tuple[Target, Engine]]:
        """List all engines that are known, whether or not they may get work."""
        found = [t for t in self.directory.targets.values() if t.announced.role]
        return [(target, self.find_engine(target)) for target in found]

    def count_zone_engines(self, zone: str) -> int:
        """Count the engines of an availability zone, whether or not they get work."""
        return sum(
            target.announced.zone == zone and bool(target.announced.role)
            for target in self.directory.targets.values()
        )

    def list_known_caches(self) -> list[str]:
        """List the engines of whose caches something is known."""
        known = self._engines.items()
        return [lifetime for lifetime, e in known if e.cached and e.is_cache_known]

    def describe_cache(self, lifetime: str) -> Cache | None:
        """Describe what an engine's cache is believed to hold."""
        engine = self._engines.get(lifetime)
        if engine is None:
            return None
        parts = list(engine.cached.items())[-MOST_TOLD_PARTS:]
        return Cache(lifetime, parts)

    def note_told_cache(self, cache: Cache) -> None:
        """Take note of what a peer believes a cache to hold, if nothing is known of it.

        The engine's entry may not have been read yet.
        """
        parts = [Part(*part) for part in cache.parts]
        engine = self.find_engine_of(cache.lifetime)
        if engine is None:
            self._told_caches[cache.lifetime] = parts
        elif not engine.is_cache_known:
            note_earlier_cache(engine, parts)

    def note_heard_by_peer(self, loads: list[TargetLoad], now: float) -> None:
        """Take note of what a peer heard of engines.

        Those that only read answer when a whole prompt is read, so the next answer may
        be a peer's. One that generates is heard by each of its streams, and a link may
        be cut for us alone.
        """
        for load in loads:
            engine = self._engines.get(load.lifetime)
            target = self.directory.targets.get(load.lifetime)
            if engine is None or target is None:
                continue
            heard_at = now - load.heard_ms_ago / 1000
            if not engine.prefill_only:
                health.note_heard_by_peer(target, heard_at)
            elif heard_at > target.liveness.heard_at:
                health.note_heard(target, heard_at)

    def list_engine_services(self) -> list[str]:
        """List the services that have engines."""
        services = self.table.services.values() if self.table else ()
        return [service.name for service in services if service.engine]

    def list_engines(self, service: str, now: float) -> list[tuple[Target, Engine]]:
        """List the engines of a service that may get work and are in a role."""
        found = (t for t in self.directory.targets.values() if t.announced.role)
        return [
            (target, self.find_engine(target))
            for target in found
            if target.announced.service == service
            and health.may_get_work(target, now)
            and health.is_healthy(target, now)
        ]

    def list_covered_versions(self, service: str, now: float) -> set[str]:
        """List versions that generate, or soon will, at engines not to be used now."""
        return versionroles.list_covered(self.directory, service, now)

    def leave_silent(self, now: float) -> list[Target]:
        """Let what may go elsewhere leave targets that fell silent; return those."""
        silent = [
            t for t in self.directory.targets.values() if self._is_overdue(t, now)
        ]
        for target in silent:
            health.note_silent(target, now)
            self._close_idle(target)
            for leave in silence.list_abandon_callbacks(target.liveness):
                leave()
        for target in self.directory.targets.values():
            for leave in silence.list_lost_callbacks(target.liveness, now):
                leave()
        return silent

    def _close_idle(self, target: Target) -> None:
        """Close idle connections to a target: they may be dead at their other ends."""
        pool = self._pools.get(target.announced.lifetime)
        if pool is not None:
            pool.close()

    def _is_overdue(self, target: Target, now: float) -> bool:
        engine = self.find_engine(target)
        backlog_s = engine.backlog_s if engine is not None else 0.0
        return silence.is_overdue(target.liveness, now, backlog_s)

    def note_pause(self, now: float) -> None:
        """Take note that nothing could be heard or done until now.

        Kept connections may be gone at their other ends; who may run once must not go
        out on one. Targets that were to be heard meanwhile have their time anew, and
        so have those that are lost.
        """
        for pool in self._pools.values():
            pool.close()
        for target in self.directory.targets.values():
            health.note_pause(target, now)
        for version in self.directory.lost:
            self.directory.lost[version] = now

    def list_silent(self, now: float) -> list[str]:
        """List the lifetimes that were found silent so lately that it is news."""
        return [
            lifetime
            for lifetime, target in self.directory.targets.items()
            if target.liveness.silent_since is not None
            and now - target.liveness.silent_since < SILENCE_NEWS_S
        ]

    def note_reported_silent(self, lifetimes: list[str], now: float) -> list[Target]:
        """Take note of targets that a peer found silent; return those believed."""
        found = (self.directory.targets.get(lifetime) for lifetime in lifetimes)
        return [
            t for t in found if t is not None and health.note_reported_silent(t, now)
        ]

    def note_switching(self, lifetime: str, role: str, now: float) -> None:
        """Take note that a peer ordered an engine to take a role."""
        target = self.directory.targets.get(lifetime)
        if target is not None and not health.is_switching(target, now):
            spec = self.find_engine_spec(target.announced.service)
            until = now + spec.role_change_s + health.SWITCH_SLACK_S
            health.note_switching(target, role, until)

    def find_pool(self, target: Target) -> ConnectionPool:
        """Find the connections to a target.

        None are kept for a target that was dropped meanwhile: if its entry returns,
        what passes on them would be noted for the dropped one.
        """
        lifetime = target.announced.lifetime
        if self.directory.targets.get(lifetime) is not target:
            return self.make_call_pool(target)
        pool = self._pools.get(lifetime)
        if pool is None:
            pool = self._pools[lifetime] = self.make_call_pool(target)
        return pool

    def make_call_pool(self, target: Target) -> ConnectionPool:
        """Make connections for calls of the gateway's own to a target.

        Answers to these carry no id of a request. On a connection that has carried
        something before, a late surplus answer would be taken for theirs, or theirs
        for that of a request.
        """
        return ConnectionPool(
            _read_address(target),
            self._decode_head,
            self._make_traffic(target),
            self._make_meter(target),
            lambda: self.max_idle_s,
        )

    def make_bare_pool(self, target: Target) -> ConnectionPool:
        """Make connections for calls about what a leaving target still has.

        Its other connections take nothing any more.
        """
        return ConnectionPool(_read_address(target), self._decode_head)

    def forget(self, target: Target, now: float) -> None:
        """Drop what is kept for a target that is gone."""
        note_listed(self.versions, target.announced, now)
        pool = self._pools.pop(target.announced.lifetime, None)
        self._engines.pop(target.announced.lifetime, None)
        if pool is not None:
            pool.close()

    def _count_connections(self, service: str) -> int:
        known = self.table.services.get(service) if self.table else None
        return known.connection_limit if known else DEFAULT_CONNECTIONS


def _read_address(target: Target) -> HostPort:
    host, _, port = target.announced.address.rpartition(":")
    return HostPort(host, int(port))


def _is_news(target: Target, engine: Engine, now: float) -> bool:
    """Whether peers can use what this gateway knows of an engine."""
    if target.in_flight or any(engine.own_backlog_s) or engine.room.claims:
        return True
    return engine.prefill_only and now - target.liveness.heard_at < HEARD_NEWS_S


def _make_load(target: Target, engine: Engine, now: float) -> TargetLoad:
    return TargetLoad(
        target.announced.lifetime,
        target.in_flight,
        [round(seconds * 1000) for seconds in engine.own_backlog_s],
        engine.own_long_answers,
        round(min(NEVER_HEARD_MS, (now - target.liveness.heard_at) * 1000)),
        engine.room.own.set_aside,
        engine.room.own.tokens,
    )
