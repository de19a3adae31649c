"""The gateway: the process on each entry VM of the users' platform.

It takes callers' requests, follows the configuration and the targets' entries in the
platform's store, and tells the balancer whether it may be sent callers.
"""

import asyncio
import signal
import time
from collections.abc import Callable
from typing import Protocol

from prometheus_client import CONTENT_TYPE_LATEST

from robinspindle.boundedoutput import BoundedOutput
from robinspindle.core import budgets, targets
from robinspindle.core.authority import Authority
from robinspindle.core.forwarding import Refusal
from robinspindle.core.routes import RouteTable, is_newer
from robinspindle.core.targets import Announcement, Directory
from robinspindle.exceptions import (
    BadDocumentError,
    InvalidDocumentError,
    LogServiceError,
)
from robinspindle.fleet import Fleet
from robinspindle.following import Follower, KeyedStore, follow
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.gatewaysettings import GatewaySettings, HostPort
from robinspindle.httpserver import CallerServer, Incoming, Limits
from robinspindle.logs import make_log, start_bounded_logs
from robinspindle.metrics import format_metrics
from robinspindle.ordering import CLAIM_KEY, OrderDialect, Orderer
from robinspindle.passages import Dialect, Means
from robinspindle.peers import LEAST_INTERVAL_S, News, PeerLink, Peers
from robinspindle.relay import Relay
from robinspindle.replies import Reply

TICK_S = 0.1
"""Interval of housekeeping, seconds: closing idle connections, forgetting targets."""

LEAVE_SHARE = 0.35
"""Shares of the time after which a leaving target may get no work: so long is the least
time between two reads of the targets' entries, and so long is a target whose entry went
still used where there is no other. Together they leave room for the call itself."""

PEERS_WAIT_S = 15.0
"""How long the store holds a poll about gateways, seconds: a new one may stay unknown
for a while without harm."""

INTRODUCE_PAUSE_S = 1.0
"""Pause before another try to be introduced to the peers, seconds."""

BUDGET_SHARES = 32
"""Gateways among which the fixed part of the repeat budget is divided."""

UNREADY_S = 2.8
"""How long a stopping gateway takes requests, seconds: the balancer asks once a second
and needs two misses; what is taken after three seconds would have to end in time."""

STOP_MARGIN_S = 0.4
"""How long before the kill a stopping gateway ends by itself, seconds."""

STOPPING = Refusal(503, "stopping", 0.05)

REREAD_S = 1.0
"""Interval at which the settings are read again, seconds: they may change without a
signal, and reading them takes less than a millisecond."""

Reread = Callable[[], GatewaySettings]

log = make_log("gateway")


class Adapter(Protocol):
    """What the platform's adapter gives a gateway."""

    configuration_topic: str
    configuration_key: str
    targets_topic: str
    gateways_topic: str
    orders_topic: str
    dialect: Dialect
    orders: OrderDialect

    def make_store(
        self, settings: GatewaySettings, clock: Callable[[], float]
    ) -> KeyedStore:
        """Make the client of the store."""

    def decode_configuration(self, data: bytes) -> RouteTable:
        """Decode the operator's configuration."""

    def decode_announcement(self, lifetime: str, data: bytes) -> Announcement:
        """Decode a target's entry."""


class Gateway:
    """State of the process.

    Attributes:
        settings: The settings in force.
        directory: The targets.
        budget: Repeats that it may make.
        fleet: What is kept for them.
        peers: The other gateways.
        relay: Forwards requests.
        orderer: Gives orders to engines.
        is_ready: Whether callers may be sent here.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        output: BoundedOutput,
        reread: Reread,
    ):
        self._reread = reread
        self._reread_at = time.monotonic()
        self._output = output
        pledges = settings.pledges
        self.settings = settings
        self._adapter = adapter
        self._clock = time.monotonic
        self.metrics = GatewayMetrics()
        self._store = adapter.make_store(settings, self._clock)
        self.directory = Directory(hold_s=pledges.leave_s * LEAVE_SHARE)
        self.fleet = Fleet(self.directory, adapter.dialect.decode_answer)
        self.budget = budgets.RepeatBudget(
            pledges.repeat_ratio,
            pledges.repeat_slack / BUDGET_SHARES,
            pledges.repeat_window_s,
        )
        self.relay = Relay(
            Means(
                dialect=adapter.dialect,
                fleet=self.fleet,
                budget=self.budget,
                zone=settings.zone,
                clock=self._clock,
                log=make_log("relay"),
                metrics=self.metrics,
            )
        )
        self.peers = Peers(settings.name, time.time())
        self._link = PeerLink(
            self.peers,
            self.fleet.find_engine_of,
            lambda lifetime, role: self.fleet.note_switching(
                lifetime, role, self._clock()
            ),
            self._clock,
            make_log("peers"),
        )
        self.orderer = Orderer(
            Authority(settings.name, pledges.lease_s),
            adapter.orders_topic,
            self._store,
            self.fleet,
            self.peers,
            adapter.orders,
            self._clock,
            make_log("orders"),
        )
        self._limits = Limits()
        self._callers = CallerServer(self._handle, self._limits, self._clock)
        self._readiness = CallerServer(self._answer_ready, Limits(), self._clock)
        self._figures = CallerServer(self._answer_metrics, Limits(), self._clock)
        self._tasks: list[asyncio.Task] = []
        self._stopping_at: float | None = None
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal to stop and the end of what is under way."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.begin_stop)
        loop.add_signal_handler(signal.SIGINT, self.begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.wait_stopped()

    async def start(self) -> None:
        """Listen, and begin to follow the store."""
        loop = asyncio.get_running_loop()
        settings = self.settings
        await self._readiness.start(settings.readiness.host, settings.readiness.port)
        await self._callers.start(settings.callers.host, settings.callers.port)
        if settings.metrics_port:
            await self._figures.start(settings.ip, settings.metrics_port)
        peer_address = HostPort(settings.ip, settings.inner_ports[0])
        await self._link.start(peer_address)
        log("started", name=settings.name, zone=settings.zone)
        self._tasks = [
            loop.create_task(self._introduce(peer_address)),
            loop.create_task(self._tell_peers()),
            loop.create_task(follow(self._store, self._follow_peers(), log)),
            loop.create_task(follow(self._store, self._follow_orders(), log)),
            loop.create_task(self.orderer.run(self.relay.read_rate)),
            loop.create_task(follow(self._store, self._follow_configuration(), log)),
            loop.create_task(follow(self._store, self._follow_targets(), log)),
            loop.create_task(self._keep_house()),
        ]
        for task in self._tasks:
            task.add_done_callback(_end_on_failure)

    async def wait_stopped(self) -> None:
        """Wait for the end of a stop."""
        await self._stopped.wait()
        await self.close()

    async def close(self) -> None:
        """End at once, with whatever is under way."""
        for task in self._tasks:
            task.cancel()
        self._callers.close_listener()
        self._readiness.close_listener()
        self._figures.close_listener()
        self._link.close()
        log("stopped", name=self.settings.name)
        self._output.flush()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self._stopping_at is None
            and self.fleet.table is not None
            and self.directory.known
        )

    def _follow_configuration(self) -> Follower:
        return Follower(
            topic=self._adapter.configuration_topic,
            apply=self._apply_configuration,
            note_away=lambda: None,
            note_back=lambda: None,
        )

    def _follow_targets(self) -> Follower:
        return Follower(
            topic=self._adapter.targets_topic,
            apply=self._apply_target,
            note_away=self._note_away,
            note_back=self._note_back,
            rest_s=self.settings.pledges.leave_s * LEAVE_SHARE,
        )

    def _follow_peers(self) -> Follower:
        return Follower(
            topic=self._adapter.gateways_topic,
            apply=self._apply_peer,
            note_away=lambda: None,
            note_back=lambda: None,
            wait_s=PEERS_WAIT_S,
        )

    def _follow_orders(self) -> Follower:
        return Follower(
            topic=self._adapter.orders_topic,
            apply=self._apply_claim,
            note_away=lambda: None,
            note_back=lambda: None,
            wait_s=PEERS_WAIT_S,
            note_end=self._note_claims_end,
        )

    def _apply_claim(self, key: str, value: bytes | None) -> None:
        if key == CLAIM_KEY and value is not None:
            self.orderer.note_record(value.decode("utf-8", "replace"))

    def _note_claims_end(self, end: int) -> None:
        self.orderer.authority.end = end

    def _apply_peer(self, key: str, value: bytes | None) -> None:
        if key == self.settings.name:
            return
        host, _, port = (value or b"").decode("latin-1").rpartition(":")
        if not host or not port.isdecimal():
            self.peers.addresses.pop(key, None)
            return
        self.peers.addresses[key] = HostPort(host, int(port))
        log("peer introduced", peer=key, address=f"{host}:{port}")

    async def _introduce(self, address: HostPort) -> None:
        """Tell the store where this gateway's datagrams are taken."""
        value = f"{address.host}:{address.port}".encode()
        while True:
            try:
                await self._store.append_keyed(
                    self._adapter.gateways_topic, self.settings.name, value
                )
            except LogServiceError as error:
                log("not introduced to peers yet", error=str(error))
                await asyncio.sleep(INTRODUCE_PAUSE_S)
            else:
                return

    async def _tell_peers(self) -> None:
        while True:
            await asyncio.sleep(LEAST_INTERVAL_S)
            news = News(
                self.fleet.list_loads(),
                self.relay.placements,
                {name: self.relay.read_rate(name) for name in self.relay.demands},
                self.orderer.peek_untold(),
            )
            if self._link.tell(self._clock(), news):
                self.relay.placements.clear()
                self.orderer.note_told()

    def _apply_configuration(self, key: str, value: bytes | None) -> None:
        if key != self._adapter.configuration_key or value is None:
            return
        try:
            table = self._adapter.decode_configuration(value)
        except BadDocumentError as error:
            log("configuration can't be read, the last one stays", error=str(error))
            return
        if not is_newer(table, self.fleet.table):
            log("older configuration passed over", version=table.version)
            return
        self.fleet.table = table
        limits = table.limits
        self._limits.header_bytes = limits.header_bytes
        self._limits.body_bytes = limits.body_bytes
        self._limits.header_s = limits.header_s
        self._limits.idle_s = limits.idle_s
        log("configuration in force", version=table.version)

    def _apply_target(self, key: str, value: bytes | None) -> None:
        if value is None:
            if targets.note_missing(self.directory, self._clock(), key):
                log("target's entry is gone", target=key)
            return
        try:
            announced = self._adapter.decode_announcement(key, value)
        except BadDocumentError as error:
            log("target's entry can't be read", target=key, error=str(error))
            return
        if targets.note_announced(self.directory, announced):
            log(
                "target announced",
                target=key,
                service=announced.service,
                role=announced.role,
                leaving=announced.leaving,
            )

    def _note_away(self) -> None:
        if targets.note_store_away(self.directory, self._clock()):
            log("store lost")

    def _note_back(self) -> None:
        self.directory.known = True
        self.directory.read_at = self._clock()
        if targets.note_store_back(self.directory, self._clock()):
            log("store regained")

    async def _handle(self, incoming: Incoming, reply: Reply) -> None:
        stopping_at = self._stopping_at
        if stopping_at is not None and incoming.at - stopping_at > UNREADY_S:
            reply.refuse(STOPPING)
            return
        await self.relay.handle(incoming, reply)

    async def _answer_ready(self, incoming: Incoming, reply: Reply) -> None:
        ready = self.is_ready
        status, reason = (200, b"OK") if ready else (503, b"Service Unavailable")
        reply.begin(status, reason, (), 0)
        reply.end()

    async def _answer_metrics(self, incoming: Incoming, reply: Reply) -> None:
        self._update_gauges(self._clock())
        body = format_metrics(self.metrics.registry)
        headers = ((b"Content-Type", CONTENT_TYPE_LATEST.encode()),)
        reply.begin(200, b"OK", headers, len(body))
        reply.write(body)
        reply.end()

    def _update_gauges(self, now: float) -> None:
        metrics, directory = self.metrics, self.directory
        usable = [t for t in directory.targets.values() if targets.may_get_work(t, now)]
        metrics.version.set(self.fleet.table.version if self.fleet.table else 0)
        metrics.targets.set(len(usable))
        metrics.peers.set(len(self.peers.views))
        metrics.store_calls.set(self._store.calls)
        metrics.store_away.set(directory.away_since is not None)
        metrics.list_age.set(now - directory.read_at)
        metrics.left_out.set(self._output.total_left_out)
        metrics.busy.set(self._callers.count_busy())

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._output.flush()
            now = self._clock()
            for target in targets.drop_gone(self.directory, now):
                self.fleet.forget(target)
                log("target is gone", target=target.announced.lifetime)
            self._link.forget_silent(now)
            self._callers.close_idle(now)
            self._readiness.close_idle(now)
            if now - self._reread_at >= REREAD_S:
                self.reload()
            if self._stopping_at is not None:
                self._go_on_stopping(now)

    def begin_stop(self) -> None:
        """Become unready; take no requests after a while; end when all is done."""
        if self._stopping_at is None:
            self._stopping_at = self._clock()
            self._callers.is_stopping = True
            log("stopping", busy=self._callers.count_busy())

    def _go_on_stopping(self, now: float) -> None:
        passed_s = now - self._stopping_at
        if passed_s >= UNREADY_S:
            self._callers.close_listener()
            self._callers.close_all()
            if self._callers.count_busy() == 0:
                self._stopped.set()
        if passed_s >= self.settings.pledges.stop_s - STOP_MARGIN_S:
            log("stopping with requests under way", busy=self._callers.count_busy())
            self._stopped.set()

    def reload(self) -> None:
        """Read the settings again; bad ones change nothing.

        What was promised comes into force at once; addresses do at the next start.
        """
        self._reread_at = self._clock()
        try:
            settings = self._reread()
        except InvalidDocumentError as error:
            log("settings can't be read, the last ones stay", findings=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        pledges = settings.pledges
        self.directory.hold_s = pledges.leave_s * LEAVE_SHARE
        self.budget.ratio = pledges.repeat_ratio
        self.budget.fixed = pledges.repeat_slack / BUDGET_SHARES
        self.budget.window_s = pledges.repeat_window_s
        self.orderer.authority.lease_s = pledges.lease_s
        log("settings in force", name=settings.name)


def run_gateway(reread: Reread, adapter: Adapter) -> None:
    """Run a gateway until it is told to stop.

    Args:
        reread: Reads the settings, at the start and again.
        adapter: The platform's adapter.

    Raises:
        InvalidDocumentError: When the settings at the start have findings.
    """
    asyncio.run(_run(reread, adapter))


async def _run(reread: Reread, adapter: Adapter) -> None:
    settings = reread()
    output = start_bounded_logs(settings.name)
    await Gateway(settings, adapter, output, reread).run()


def _end_on_failure(task: asyncio.Task) -> None:
    """End the process when a task that must go on has failed; it is restarted."""
    if not task.cancelled() and task.exception() is not None:
        log("internal error", error=repr(task.exception()))
        raise SystemExit(1)
