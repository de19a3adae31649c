"""The gateway: the process on each entry VM of the users' platform.

It takes callers' requests, follows the configuration and the targets' entries in the
platform's store, and tells the balancer whether it may be sent callers.
"""

import asyncio
import signal
import time
from functools import partial

from robinspindle.adapters import Adapter
from robinspindle.beliefs import Beliefs
from robinspindle.boundedoutput import BoundedOutput
from robinspindle.cachelists import CacheLists
from robinspindle.callerports import CallerPorts, Handlers
from robinspindle.clocks import read_steady
from robinspindle.core import heldbytes, retrywindows, targets, upstreamaccount
from robinspindle.core.answerstats import AnswerStats
from robinspindle.core.authority import Authority
from robinspindle.core.fingerprints import Fingerprint
from robinspindle.core.forwarding import STOPPING
from robinspindle.core.freshness import Freshness, may_serve
from robinspindle.core.heldbytes import HeldBytes
from robinspindle.core.pauses import Pause
from robinspindle.core.relays import Member, encode_member
from robinspindle.core.targets import Directory
from robinspindle.core.taskfailures import HOPELESS_AFTER_S, UNREADY_AFTER_S
from robinspindle.core.upstreamaccount import UpstreamAccount
from robinspindle.core.usage import make_incarnation
from robinspindle.duties import Duties
from robinspindle.fleet import Fleet
from robinspindle.following import note_new_era
from robinspindle.gatewayjobs import Housekeeper
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.gatewaypages import (
    make_metrics_page,
    make_operator_pages,
    make_readiness_page,
)
from robinspindle.gatewayports import Servers, list_listeners
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.gatewaytasks import TaskParts, list_tasks
from robinspindle.gauges import GaugeSources
from robinspindle.guard import Guard
from robinspindle.guardnews import list_news, take_news
from robinspindle.housekeeping import Job, do_jobs
from robinspindle.introduction import Introduction
from robinspindle.linkqueue import LinkQueue
from robinspindle.listeners import Listeners
from robinspindle.logs import make_log
from robinspindle.ordering import Orderer
from robinspindle.passages import Means
from robinspindle.peerfacts import PeerFacts
from robinspindle.peerlink import News, PeerLink
from robinspindle.peers import Peers, list_heard
from robinspindle.processsignals import STOP_SIGNALS, ProcessSignals
from robinspindle.quarantinekeeping import QuarantineKeeper, find_place
from robinspindle.relay import Relay
from robinspindle.replies import Reply
from robinspindle.requestparser import Incoming, Limits
from robinspindle.rereading import Reread, SettingsReader
from robinspindle.stopping import Stop
from robinspindle.storenews import StoreNews
from robinspindle.streamparts import make_stream_parts
from robinspindle.supervision import FailureLog, Supervisor, Task
from robinspindle.targettraffic import make_traffic_maker
from robinspindle.usagebook import UsageBook
from robinspindle.zonetraffic import ZoneTraffic

TICK_S = 0.1
"""Interval of housekeeping, seconds: closing idle connections, forgetting targets."""

LEAVE_SHARE = 0.35
"""Shares of the time after which a leaving target may get no work: so long is the least
time between two reads of the targets' entries, and so long is a target whose entry went
still used where there is no other. Together they leave room for the call itself."""

BUDGET_SHARES = 32
"""Gateways among which the fixed part of the repeat budget is divided."""

log = make_log("gateway")


class Gateway:
    """State of the process.

    Attributes:
        directory: The targets.
        traffic: Bytes between availability zones.
        budget: Repeats that it may make.
        fleet: What is kept for them.
        peers: The other gateways.
        lengths: What is known of how long answers last.
        guard: Knows which requests crash targets.
        link: The VM's own link.
        streams: Remembers who began which stream.
        versions: Knows which software versions may have begun streams.
        relay: Forwards requests.
        orderer: Gives orders to engines.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        output: BoundedOutput,
        reread: Reread,
    ):
        self._output = output
        self._adapter = adapter
        self._clock = read_steady
        self._reader = SettingsReader(
            settings, reread, self._apply_settings, self._clock(), log
        )
        self.metrics = GatewayMetrics()
        self.failures = FailureLog(self._clock, log, self.metrics.count_failure)
        self._supervisor = Supervisor(self._clock, self.failures)
        self._listeners = Listeners(self._clock, log, self.metrics.ports_waiting.set)
        self._store = adapter.make_store(settings, self._clock)
        self.directory = Directory()
        self.traffic = ZoneTraffic(settings.zone)
        self.fleet = Fleet(
            self.directory,
            adapter.dialect.decode_answer,
            make_traffic_maker(
                self._clock,
                make_log("targets"),
                self.metrics.surplus_answers.inc,
            ),
            self.traffic.make_meter,
        )
        self.budget = retrywindows.WindowedRetryBudget()
        self.peers = Peers(_describe_own(settings), time.time())
        self.book = UsageBook(
            settings.name,
            make_incarnation(self.peers.started),
            self._clock,
            make_log("usage"),
        )
        self.lengths = AnswerStats()
        self.freshness = Freshness()
        self.held = HeldBytes(heldbytes.find_bound(settings.memory_mb))
        self._upstream = UpstreamAccount()
        self.link = LinkQueue(self._clock)
        self._streams = make_stream_parts(
            adapter,
            self._store,
            self.peers,
            self.fleet,
            self.link,
            self.traffic,
            self._clock,
            make_log("streams"),
        )
        self.streams = self._streams.memory
        self.versions = self._streams.versions
        self.guard = Guard(
            self.directory,
            self._clock,
            make_log("guard"),
            self._find_place,
            self.peers.changed.set,
        )
        self._keeper = QuarantineKeeper(
            self._store,
            adapter.gateways_topic,
            self.guard.quarantine,
            self.guard.merge_entry,
            self._find_place,
            self._clock,
            make_log("guard"),
        )
        self.relay = self._make_relay(adapter)
        self.duties = Duties(
            settings,
            adapter,
            self._store,
            self.book,
            self.fleet,
            self.peers,
            self._clock,
        )
        self._link = self._make_peer_link()
        self.orderer = self._make_orderer(adapter)
        self._cache_lists = CacheLists(
            self.fleet,
            self.peers,
            adapter.dialect,
            self._upstream,
            self._clock,
            make_log("caches"),
        )
        self._introduction = Introduction(
            self._store,
            adapter.gateways_topic,
            settings.name,
            lambda: encode_member(self.peers.own),
            log,
        )
        limits = Limits()
        beliefs = self._make_beliefs(adapter, limits)
        self._entries = beliefs.entries
        self._introductions = beliefs.introductions
        self._followers = beliefs.list_followers()
        for follower in self._followers:
            follower.count_failed = partial(
                self.metrics.count_failure, f"follow {follower.topic}"
            )
        self._store_news = StoreNews(
            self.peers,
            self._followers,
            adapter.configuration_topic,
            lambda: self._store.era or 0,
        )
        self._store.note_era = self._note_era
        self._store.note_silent = self._note_store_silent
        self._ports = self._make_ports(adapter, limits)
        self._callers, self._figures = self._ports.requests, self._ports.figures
        self._housekeeper = self._make_housekeeper()
        self._apply_settings(settings)
        self._has_failed = False
        self._stop = Stop(self._callers, lambda: self.settings.pledges.stop_s, log)

    @property
    def settings(self) -> GatewaySettings:
        """The settings in force."""
        return self._reader.settings

    def _make_relay(self, adapter: Adapter) -> Relay:
        return Relay(
            Means(
                dialect=adapter.dialect,
                fleet=self.fleet,
                peers=self.peers,
                guard=self.guard,
                budget=self.budget,
                lengths=self.lengths,
                freshness=self.freshness,
                held=self.held,
                book=self.book,
                link=self.link,
                streams=self.streams,
                versions=self.versions,
                policy=lambda: self.settings.policy,
                zone=self.settings.zone,
                clock=self._clock,
                log=make_log("relay"),
                metrics=self.metrics,
                traffic=self.traffic,
                zone_terms=lambda: self.settings.zone_terms,
            )
        )

    def _make_ports(self, adapter: Adapter, limits: Limits) -> CallerPorts:
        metrics_page = make_metrics_page(self.metrics, self._list_measured, self._clock)
        return CallerPorts(
            Handlers(
                requests=self._handle,
                readiness=make_readiness_page(lambda: self.is_ready),
                figures=make_operator_pages(metrics_page, self.relay.admission),
            ),
            limits,
            self.held,
            self.metrics,
            self._clock,
            self.link.note_sent,
            adapter.dialect.find_request_id,
        )

    def _make_housekeeper(self) -> Housekeeper:
        return Housekeeper(
            fleet=self.fleet,
            peers=self.peers,
            introduction=self._introduction,
            store=self._store,
            store_news=self._store_news,
            freshness=self.freshness,
            guard=self.guard,
            relay=self.relay,
            traffic=self.traffic,
            metrics=self.metrics,
            find_settings=lambda: self.settings,
            log=log,
        )

    def _make_peer_link(self) -> PeerLink:
        return PeerLink(
            self.peers,
            self.fleet,
            self._clock,
            make_log("peers"),
            # Made after the link, as the followers need what it fills.
            lambda digest: self._store_news.note_told(digest),
            lambda news: take_news(self.guard, news, self._clock()),
            PeerFacts(
                self.peers,
                self.freshness,
                self.book,
                self.duties.reports,
                self._clock,
            ),
            self.link.note_sent,
            self.traffic,
        )

    def _make_orderer(self, adapter: Adapter) -> Orderer:
        return Orderer(
            Authority(self.settings.name, self.settings.pledges.lease_s),
            adapter.orders_topic,
            self._store,
            self.fleet,
            self.peers,
            adapter.orders,
            self._clock,
            make_log("orders"),
        )

    def _make_beliefs(self, adapter: Adapter, limits: Limits) -> Beliefs:
        return Beliefs(
            adapter=adapter,
            fleet=self.fleet,
            peers=self.peers,
            orderer=self.orderer,
            introduction=self._introduction,
            guard=self.guard,
            keeper=self._keeper,
            versions=self.versions,
            limits=limits,
            is_own=lambda name: name == self.settings.name,
            freshness=self.freshness,
            clock=self._clock,
            log=log,
            contact_s=lambda: self.settings.pledges.contact_s,
        )

    def _find_place(self, fingerprint: Fingerprint) -> int:
        """Find this gateway's place among those that are heard, for a request."""
        return find_place(fingerprint, self.settings.name, list_heard(self.peers))

    def peers_topic_known(self) -> bool:
        """Whether what the store now holds about gateways has been read."""
        return self._introduction.is_read

    def _note_era(self, era: int) -> None:
        """Begin anew with a store that returned from a copy."""
        log("store returned from a copy", era=era)
        self.orderer.note_era(era)
        self.duties.note_era(era)
        targets.note_store_restored(self.directory, self._clock())
        self._introduction.note_era()
        self._streams.note_era()
        for follower in self._followers:
            note_new_era(follower)

    def _note_store_silent(self, topic: str) -> None:
        log("connection to the store went silent", topic=topic)
        self.metrics.store_silences.inc()
        self._store_news.note_silent(topic)

    def note_pause(self, pause: Pause) -> None:
        """Take note that nothing was heard or done for a while, before going on.

        What is as old as the pause is not used: connections may be gone at their other
        ends, and polls may wait in vain. Who was not heard meanwhile is not silent.
        """
        now = self._clock()
        log(
            "process was paused",
            seconds=round(pause.seconds, 3),
            is_suspension=pause.is_suspension,
        )
        self.metrics.pauses.inc()
        self.fleet.note_pause(now)
        self._link.remove_timed_out_peers(now)
        self.duties.note_pause()
        self._store.drop_connections()
        self._store_news.note_pause()
        self._streams.note_pause(now)

    def note_long_turn(self, seconds: float) -> None:
        """Take note that what came during a turn of the event loop had to wait."""
        self.metrics.latencies.record("long_turn", "event_loop", seconds)
        log(
            "event loop was busy",
            at=round(self._clock(), 4),
            seconds=round(seconds, 3),
            in_flight=self._callers.count_busy(),
        )

    async def run(self, signals: ProcessSignals) -> int:
        """Serve until a signal to stop and the end of what is under way.

        Args:
            signals: What came since the process began, and what comes.

        Returns:
            The exit code: 1 where it stops as it can't go on, 0 otherwise.
        """
        if signals.ask_to_stop:
            log("stopped before it served", name=self.settings.name)
            self._output.flush()
            return 0
        loop = asyncio.get_running_loop()
        signals.wake = lambda: loop.call_soon_threadsafe(self._act_on, signals)
        self._act_on(signals)
        await self.start()
        await self.wait_stopped()
        signals.wake = None
        return 1 if self._has_failed else 0

    def _act_on(self, signals: ProcessSignals) -> None:
        """Do what the signals that came ask for."""
        for number in signals.take():
            if number in STOP_SIGNALS:
                self.begin_stop()
            elif number == signal.SIGHUP:
                self.reload()

    async def start(self) -> None:
        """Listen, and begin to follow the store.

        What can't listen yet, as another process holds its port, does so later.
        """
        servers = Servers(
            self._callers,
            self._ports.readiness,
            self._figures,
            self._link.start,
            self._streams.link.start,
        )
        listeners = list_listeners(servers, self.settings)
        held = [one for one in listeners if not await self._listeners.try_open(one)]
        log(
            "started",
            name=self.settings.name,
            zone=self.settings.zone,
            waits_for=self._listeners.waiting,
        )
        if self.settings.inner_ports[0] == self.settings.inner_ports[1]:
            log("one inner port is too few: streams are remembered here only")
        for listener in held:
            run = partial(self._listeners.open_when_free, listener)
            self._supervisor.start(Task(f"open {listener.name}", run))
        for task in list_tasks(self._list_parts(), self._tell_peers, self._keep_house):
            self._supervisor.start(task)

    def _list_parts(self) -> TaskParts:
        tells_caches = self.settings.policy.tells_caches
        return TaskParts(
            store=self._store,
            followers=self._followers,
            minor_topic=self._adapter.orders_topic,
            outage=self._store_news.outage,
            introduction=self._introduction,
            orderer=self.orderer,
            relay=self.relay,
            lengths=self.lengths,
            keeper=self._keeper,
            streams=self._streams,
            guard=self.guard,
            duties=self.duties,
            cache_lists=self._cache_lists if tells_caches else None,
            listeners=self._listeners,
            clock=self._clock,
            log=log,
        )

    async def wait_stopped(self) -> None:
        """Wait for the end of a stop."""
        await self._stop.ended.wait()
        await self.close()

    async def close(self) -> None:
        """End at once, with whatever is under way."""
        self._listeners.stop()
        self._supervisor.cancel_all()
        self._ports.close_listeners()
        self._link.close()
        self._streams.link.close()
        self.traffic.log(log, self._clock(), self._store.received_bytes)
        log("stopped", name=self.settings.name)
        self._output.flush()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here.

        One that does not know yet who is turned away would send it to a target. One
        that is not sure of its keys would refuse nearly all.
        """
        return (
            not self._stop.has_begun
            and self._callers.is_listening
            and not self._is_behind(self._clock())
            and self.fleet.table is not None
            and self.directory.is_list_read
            and self._keeper.is_known
            and may_serve(self.freshness, self._clock())
        )

    def _is_behind(self, now: float) -> bool:
        """Whether this gateway fails to read on where others do not."""
        is_failing = self._supervisor.find_failing_s(now) >= UNREADY_AFTER_S
        return is_failing and self._do_others_better()

    def _can_not_read_on(self, now: float) -> bool:
        """Whether the store is away, or what it says can't be taken in."""
        is_away = self.directory.unavailable_since is not None
        return is_away or self._supervisor.find_failing_s(now) > 0

    def _do_others_better(self) -> bool:
        """Whether a peer is heard itself for which the store is not away."""
        # Relays don't say of each of their members whether it can read the store.
        return any(
            not self._store_news.is_unavailable_for(peer) for peer in self.peers.views
        )

    def _look_after_failing(self, now: float) -> None:
        """Stop where what is known can't be read on for long, and others can.

        Only what is in memory can be the cause, so a process that begins anew is better
        than one that is unready; what is under way is ended as in any stop.
        """
        failing_s = self._supervisor.find_failing_s(now)
        if failing_s < HOPELESS_AFTER_S or self._stop.has_begun:
            return
        if self._do_others_better():
            log("stops, as it can't read the store on", failing_s=round(failing_s, 1))
            self._has_failed = True
            self.begin_stop()

    async def _tell_peers(self) -> None:
        while True:
            await self._link.wait_due()
            self._tell_news(self._clock())

    def _tell_news(self, now: float) -> None:
        """Tell the peers what is new."""
        news = News(
            self.fleet.list_loads(now),
            self.relay.placements,
            self.relay.chooser.list_read_rates(),
            self.orderer.peek_untold(),
            self.fleet.paces.list_learnt(),
            self.fleet.list_silent(now),
            self._store_news.list_ends(),
            self._can_not_read_on(now),
            list_news(self.guard, now),
            self._store.era or 0,
            self.fleet.limits.list_named(now),
        )
        self._link.tell(now, news)
        self.relay.placements.clear()
        self.orderer.note_told()

    async def _handle(self, incoming: Incoming, reply: Reply) -> None:
        if self._stop.is_too_late(incoming.at):
            reply.refuse(STOPPING)
            return
        await self.relay.handle(incoming, reply)

    def _list_measured(self) -> GaugeSources:
        return GaugeSources(
            fleet=self.fleet,
            peers=self.peers,
            store=self._store,
            guard=self.guard,
            freshness=self.freshness,
            callers=self._ports.limits.account,
            reporter=self.duties.reporter,
            streams=self.streams,
            traffic=self.traffic,
            entries=self._entries,
            introductions=self._introductions,
            versions=self.versions.unreadable,
            followers=self._followers,
            count_busy=self._callers.count_busy,
            count_left_out=lambda: self._output.total_left_out,
            count_unreadable=lambda: self._keeper.unreadable,
        )

    async def _keep_house(self) -> None:
        jobs = self._list_jobs()
        while True:
            due_at = self._clock() + TICK_S
            await asyncio.sleep(TICK_S)
            now = self._clock()
            self._ports.arrivals.note_tick(now, now - due_at)
            do_jobs(jobs, now, self.failures)

    def _list_jobs(self) -> list[Job]:
        """List the jobs of each tick, in their order."""
        return [
            Job("flush logs", lambda now: self._output.flush()),
            *self._housekeeper.list_jobs(),
            Job("forget peers", self._link.remove_timed_out_peers),
            *self._ports.list_jobs(),
            Job("read settings", self._reader.read_if_due),
            Job("look after failures", self._look_after_failing),
            Job("stop", self._stop.go_on),
        ]

    def begin_stop(self) -> None:
        """Become unready; take no requests after a while; end when all is done."""
        self._listeners.stop()
        self._stop.begin(self._clock())
        self.relay.begin_stop(self._stop.find_answers_end())

    def reload(self) -> None:
        """Read the settings again; bad ones change nothing."""
        self._reader.read(self._clock())

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Put in force what follows from what was promised, and the policy."""
        pledges = settings.pledges
        self.link.uplink.bytes_per_s = settings.link_bytes_per_s
        self.held.max_bytes = heldbytes.find_bound(settings.memory_mb)
        self._upstream.max_bytes = upstreamaccount.find_bound(settings.memory_mb)
        self._ports.apply_settings(settings)
        self.peers.link_bytes_per_s = settings.link_bytes_per_s
        self.peers.teaches = settings.policy.tells_caches
        self.orderer.may_change = settings.policy.changes_roles
        self.fleet.shares_speeds = settings.policy.shares_speeds
        self.fleet.max_idle_s = pledges.contact_s
        self.directory.missing_grace_s = pledges.leave_s * LEAVE_SHARE
        self.freshness.limit_s = pledges.revoke_s
        self.freshness.apply_s = pledges.configuration_s
        self.budget.ratio = pledges.repeat_ratio
        self.budget.fixed_retries = pledges.repeat_slack / BUDGET_SHARES
        self.budget.window_s = pledges.repeat_window_s
        self.orderer.authority.lease_s = pledges.lease_s
        self.duties.apply_settings(settings)


def _describe_own(settings: GatewaySettings) -> Member:
    """Describe a gateway as it introduces itself to the others."""
    port = settings.inner_ports[0]
    return Member(settings.name, settings.ip, port, settings.zone, settings.capacity)
