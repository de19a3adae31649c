"""Gives orders to engines, under a claim in the platform's log."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from robinspindle.calls import CallLimits, call_apart
from robinspindle.core import rebalancing, versionroles
from robinspindle.core.authority import (
    Authority,
    Claim,
    has_lowest_name,
    may_claim,
    may_use,
    note_claim,
    note_era,
)
from robinspindle.core.eras import make_fence
from robinspindle.core.rebalancing import RoleChange, RoleChangeHistory
from robinspindle.core.targets import Target
from robinspindle.exceptions import LogConflictError, LogServiceError
from robinspindle.fleet import Fleet
from robinspindle.following import KeyedStore
from robinspindle.httpclient import ConnectionBrokenError, NotSentError
from robinspindle.logs import Log
from robinspindle.peers import Peers, list_deciders

CLAIM_KEY = "roles"

DECIDE_S = 0.25
"""Interval at which roles are looked at, seconds."""

ORDER_LIMITS = CallLimits(connect_s=0.25, first_s=0.5, silence_s=0.5)
"""How long an engine's answer to an order is waited for; it has no body to speak of."""

SETTLE_S = 3.0
"""How long a gateway hears its peers before it decides for all, seconds."""

TELLINGS = 3
"""Times that an order is told to the peers, as datagrams may be lost."""


class OrderOutcome(Enum):
    """How an engine took an order."""

    TAKEN = "taken"
    HOLDS = "holds already"
    CONFLICT = "another order is under way"
    FENCED = "a newer claim has been used"
    REPLACED = "another lifetime answers"
    REFUSED = "refused"
    UNSURE = "no answer"
    NOT_SENT = "not sent, as the engine wants nothing now"


@dataclass(frozen=True)
class Order:
    """An order to one engine to change its role.

    Attributes:
        lifetime: The engine's lifetime.
        address: Its address.
        role: The role to take.
        holder: The gateway that gives it.
        fence: Its fencing number.
    """

    lifetime: str
    address: str
    role: str
    holder: str
    fence: int


class OrderDialect(Protocol):
    """How orders are written on the wire."""

    def encode_order(self, order: Order) -> bytes:
        """Write an order."""

    def decode_outcome(self, status: int) -> OrderOutcome:
        """Read how it was taken."""


class Orderer:
    """Decides on roles for all gateways, while it is the first of them.

    Attributes:
        authority: What is known of the claims.
        may_change: Whether roles may be changed at all.
    """

    def __init__(
        self,
        authority: Authority,
        topic: str,
        store: KeyedStore,
        fleet: Fleet,
        peers: Peers,
        dialect: OrderDialect,
        clock: Callable[[], float],
        log: Log,
    ):
        self.authority = authority
        self.may_change = True
        self._untold: list[tuple[str, str]] = []
        self._topic = topic
        self._store = store
        self._fleet = fleet
        self._peers = peers
        self._dialect = dialect
        self._clock = clock
        self._log = log
        self._histories: dict[str, RoleChangeHistory] = {}
        self._began_at = clock()

    @property
    def now(self) -> float:
        """The present time of this gateway's steady clock, seconds."""
        return self._clock()

    def note_record(self, holder: str) -> None:
        """Take note of a claim that was read from the log."""
        note_claim(self.authority, self._clock(), holder)

    def note_era(self, era: int) -> None:
        """Take note that the store has returned from a copy."""
        note_era(self.authority, self._clock(), era)

    def peek_untold(self) -> list[tuple[str, str]]:
        """List an engine that was ordered and its role, to be told to the peers."""
        return self._untold[:1]

    def note_told(self) -> None:
        """Take note that it was told."""
        del self._untold[:1]

    async def run(
        self,
        own_demand: Callable[[str], float],
        find_pressure: Callable[[str, float], float],
    ) -> None:
        """Look at the roles for as long as the process runs.

        Args:
            own_demand: Tells what this gateway asks of a service's readers.
            find_pressure: Tells how long a service's longest answers take.
        """
        while True:
            await asyncio.sleep(DECIDE_S)
            now = self._clock()
            if not self.may_change or now - self._began_at < SETTLE_S:
                continue
            if not has_lowest_name(self.authority.name, list_deciders(self._peers)):
                continue
            for service in self._fleet.list_engine_services():
                pressure = find_pressure(service, now)
                await self._look_at(service, own_demand(service), pressure, now)

    async def _look_at(
        self, service: str, own_rate: float, pressure: float, now: float
    ) -> None:
        rate = own_rate + sum(
            view.prefill_loads.get(service, 0.0) for view in self._peers.views.values()
        )
        history = self._histories.setdefault(service, RoleChangeHistory())
        role_change_s = self._fleet.find_engine_spec(service).role_change_s
        engines = self._fleet.list_engines(service, now)
        covered = self._fleet.list_covered_versions(service, now)
        change = rebalancing.decide_role_change(
            engines,
            rate,
            history,
            now,
            role_change_s,
            pressure,
            covered,
        )
        if change is None or not may_claim(self.authority, now):
            return
        claim = await self._claim()
        if claim is None:
            # Whoever was faster decides; what it did shows in the entries.
            history.changed_at = self._clock()
            return
        history.changed_at = claim.sent_at
        history.last_role = "" if change.replaces_lost else change.role
        self._log(
            "roles change",
            service=service,
            role=change.role,
            read_rate=round(rate, 2),
            pressure=round(pressure, 2),
            engines=len(engines),
            readers=sum(engine.prefill_only for _, engine in engines),
            long_answers=sum(engine.long_answers for _, engine in engines),
            targets=[target.announced.lifetime for target in change.targets],
            generating=versionroles.count_decode_engines(engines),
            covered=sorted(covered),
            fence=claim.fence,
        )
        await self._give_all(change, claim)

    async def _claim(self) -> Claim | None:
        sent_at, era = self._clock(), self.authority.era
        try:
            offset = await self._store.append_keyed(
                self._topic,
                CLAIM_KEY,
                self.authority.name.encode(),
                expected_end=self.authority.end,
            )
        except LogConflictError as error:
            self._log("claim lost to another", end=error.end)
            return None
        except LogServiceError as error:
            self._log("claim not made", error=str(error))
            return None
        fence = make_fence(self._store.era or 0, offset)
        return Claim(fence, sent_at, era)

    async def _give_all(self, change: RoleChange, claim: Claim) -> None:
        for target in change.targets:
            if not may_use(self.authority, claim, self._clock()):
                self._log("claim is too old to be used", fence=claim.fence)
                return
            outcome = await self._give(target, change.role, claim)
            self._log(
                "order given",
                target=target.announced.lifetime,
                role=change.role,
                fence=claim.fence,
                outcome=outcome.value,
            )
            if outcome in (OrderOutcome.TAKEN, OrderOutcome.UNSURE):
                lifetime = target.announced.lifetime
                self._fleet.note_switching(lifetime, change.role, self._clock())
                self._untold += [(lifetime, change.role)] * TELLINGS

    async def _give(self, target: Target, role: str, claim: Claim) -> OrderOutcome:
        announced = target.announced
        order = Order(
            announced.lifetime,
            announced.address,
            role,
            self.authority.name,
            claim.fence,
        )
        pool = self._fleet.make_call_pool(target)
        try:
            data = self._dialect.encode_order(order)
            head, _ = await call_apart(pool, self._clock, data, ORDER_LIMITS)
        except NotSentError:
            return OrderOutcome.NOT_SENT
        except (ConnectionBrokenError, TimeoutError):
            return OrderOutcome.UNSURE
        return self._dialect.decode_outcome(head.status)
