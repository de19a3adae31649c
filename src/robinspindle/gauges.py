"""Reads a gateway's state into its gauges when they are asked for."""

from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.core import health
from robinspindle.core.calleraccount import CallerAccount
from robinspindle.core.entries import UnusableEntries
from robinspindle.core.freshness import Freshness
from robinspindle.core.obstacles import ObstacleReason, count_send_obstacles
from robinspindle.core.quarantine import list_quarantined
from robinspindle.core.roomclaims import find_oldest_claim_s
from robinspindle.fleet import Fleet
from robinspindle.following import Follower, KeyedStore
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.guard import Guard
from robinspindle.peers import Peers, find_oldest_s, list_heard
from robinspindle.reporting import Reporter
from robinspindle.streammemory import StreamMemory
from robinspindle.zonetraffic import ZoneTraffic


@dataclass(frozen=True)
class GaugeSources:
    """The parts of a gateway that are read.

    Attributes:
        fleet: The targets.
        peers: The other gateways.
        store: The client of the store.
        guard: Knows which requests crash targets.
        freshness: What is known of the age of the configuration.
        callers: What callers make the process hold.
        reporter: Reports usage.
        streams: Remembers who began which stream.
        traffic: Bytes between availability zones.
        entries: The targets' entries that can't be used.
        introductions: The gateways' introductions that can't be read.
        versions: The versions' records that can't be read.
        followers: The topics that are followed.
        count_busy: Counts callers' requests under way.
        count_left_out: Counts log lines that were left out.
        count_unreadable: Counts records of the quarantine that can't be read.
    """

    fleet: Fleet
    peers: Peers
    store: KeyedStore
    guard: Guard
    freshness: Freshness
    callers: CallerAccount
    reporter: Reporter
    streams: StreamMemory
    traffic: ZoneTraffic
    entries: UnusableEntries
    introductions: UnusableEntries
    versions: UnusableEntries
    followers: list[Follower]
    count_busy: Callable[[], int]
    count_left_out: Callable[[], int]
    count_unreadable: Callable[[], int]


def update_gauges(metrics: GatewayMetrics, parts: GaugeSources, now: float) -> None:
    """Set all gauges to what the parts of a gateway show.

    Args:
        metrics: The gateway's metrics.
        parts: What is read.
        now: The present time, steady seconds.
    """
    _update_targets(metrics, parts, now)
    _update_room(metrics, parts.fleet, now)
    _update_peers(metrics, parts.peers, now)
    _update_store(metrics, parts.store)
    _update_records(metrics, parts)
    _update_streams(metrics, parts.streams)
    for cause, size in parts.traffic.counts.items():
        metrics.zone_traffic.labels(cause.value).set(size)
    metrics.quarantined.set(len(list_quarantined(parts.guard.quarantine)))
    metrics.suspected.set(len(parts.guard.evidence.crashes_by_suspect))
    metrics.quarantine_unreadable.set(parts.count_unreadable())
    metrics.usage_missed.set(parts.reporter.missed)
    metrics.usage_reported.set(parts.reporter.count_reported())
    metrics.left_out.set(parts.count_left_out())
    metrics.busy.set(parts.count_busy())
    _update_callers(metrics, parts.callers)


def _update_callers(metrics: GatewayMetrics, account: CallerAccount) -> None:
    metrics.held_bytes.set(account.answers.total)
    metrics.held_waits.set(account.answers.waits)
    metrics.caller_bytes.set(account.total_bytes)
    metrics.caller_connections.set(len(account.holdings))


def _update_targets(metrics: GatewayMetrics, parts: GaugeSources, now: float) -> None:
    fleet, directory = parts.fleet, parts.fleet.directory
    usable = [t for t in directory.targets.values() if health.may_get_work(t, now)]
    metrics.version.set(fleet.table.version if fleet.table else 0)
    metrics.version_findings.set(len(fleet.table.findings) if fleet.table else 0)
    metrics.is_version_unreadable.set(parts.freshness.is_newest_unreadable)
    metrics.version_age.set(now - parts.freshness.newest_at)
    metrics.targets.set(len(usable))
    obstacles = count_send_obstacles(directory.targets.values(), now)
    metrics.leaving.set(obstacles[ObstacleReason.LEAVING])
    metrics.resting.set(obstacles[ObstacleReason.RESTING])
    metrics.limited.set(len(fleet.limits.list_named(now)))
    metrics.store_away.set(directory.unavailable_since is not None)
    metrics.list_age.set(now - directory.read_at)
    metrics.entries_unusable.set(parts.entries.total)
    metrics.target_slowness.clear()
    for target, engine in fleet.list_all_engines():
        lifetime = target.announced.lifetime
        metrics.target_slowness.labels(lifetime).set(engine.slowness)


def _update_room(metrics: GatewayMetrics, fleet: Fleet, now: float) -> None:
    engines = [engine for _, engine in fleet.list_all_engines()]
    rooms = [engine.room for engine in engines]
    metrics.room_set_aside.set(sum(room.set_aside for room in rooms))
    metrics.room_tokens.set(sum(room.tokens for room in rooms))
    short = [engine for engine in engines if engine.room.tokens >= engine.cache_tokens]
    metrics.room_short.set(len(short))
    oldest_s = max((find_oldest_claim_s(room, now) for room in rooms), default=0.0)
    metrics.room_claim_age.set(oldest_s)


def _update_peers(metrics: GatewayMetrics, peers: Peers, now: float) -> None:
    metrics.peers.set(len(list_heard(peers)))
    metrics.peers_refused.set(peers.refused)
    metrics.is_relay.set(peers.is_relay)
    metrics.peers_age.set(find_oldest_s(peers, now))


def _update_streams(metrics: GatewayMetrics, streams: StreamMemory) -> None:
    counts = streams.counts
    metrics.streams_known.set(len(streams.table.entries))
    metrics.streams_begun.set(counts.begun)
    metrics.streams_asked.set(counts.asked)
    metrics.streams_unknown.set(counts.unknown)
    metrics.streams_looked_up.set(counts.looked_up)
    metrics.streams_conflicting.set(counts.conflicts)


def _update_records(metrics: GatewayMetrics, parts: GaugeSources) -> None:
    metrics.introductions_unusable.set(parts.introductions.total)
    metrics.versions_unreadable.set(parts.versions.total)
    for follower in parts.followers:
        passed_over = metrics.records_passed_over.labels(follower.topic)
        passed_over.set(follower.failed.total)


def _update_store(metrics: GatewayMetrics, store: KeyedStore) -> None:
    metrics.store_calls.set(store.calls)
    metrics.store_received.set(store.received_bytes)
    metrics.store_wasted.set(store.wasted_bytes)
    metrics.store_era.set(store.era or 0)
    metrics.eras_unreadable.set(store.unreadable_eras)
