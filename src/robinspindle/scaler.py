"""Orders how many targets services should have, while it is this gateway's turn."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from robinspindle.core import scaling
from robinspindle.core.scaling import Bounds, ZoneDemand
from robinspindle.core.targets import Target, is_leaving
from robinspindle.dutycalls import DutyOutcome
from robinspindle.dutylog import DutyLog
from robinspindle.dutyranking import DutyRanking
from robinspindle.exceptions import LogServiceError
from robinspindle.fleet import Fleet
from robinspindle.logs import Log
from robinspindle.peers import Peers, list_heard

RETRY_S = 2.0
"""Least time between two orders for one service and zone, seconds."""


@dataclass(frozen=True)
class ScaleOrder:
    """An order of how many targets a service has in a zone.

    Attributes:
        service: The service.
        zone: The availability zone.
        desired: How many targets.
        holder: The gateway that orders.
        fence: Its fencing number.
    """

    service: str
    zone: str
    desired: int
    holder: str
    fence: int


SendOrder = Callable[[ScaleOrder], Awaitable[DutyOutcome]]


class Scaler:
    """Looks at the demand of services that the operator gave bounds."""

    def __init__(
        self,
        duties: DutyLog,
        ranking: DutyRanking,
        send: SendOrder | None,
        fleet: Fleet,
        peers: Peers,
        clock: Callable[[], float],
        log: Log,
    ):
        self._duties = duties
        self._ranking = ranking
        self._send = send
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._log = log
        self._demands: dict[tuple[str, str], ZoneDemand] = {}
        self._tried_at: dict[tuple[str, str], float] = {}

    async def look(self) -> None:
        """Order what is wanted and not in force yet."""
        table = self._fleet.table
        if table is None or self._send is None or not self._ranking.is_first():
            # Who comes to act later begins with what there is.
            self._demands.clear()
            return
        for service in table.services.values():
            if service.scaling is not None:
                await self._look_at(service.name, service.scaling)

    async def _look_at(self, service: str, bounds: Bounds) -> None:
        now = self._clock()
        found: dict[str, list[Target]] = {}
        for target in self._fleet.directory.targets.values():
            # One that rests for a while is there all the same.
            if target.announced.service == service and not is_leaving(target):
                found.setdefault(target.announced.zone, []).append(target)
        for zone, targets in found.items():
            demand = self._demands.setdefault((service, zone), ZoneDemand())
            scaling.note_busy_slots(demand, now, self._count_busy(targets))
            slots = min(target.announced.slots for target in targets)
            desired = scaling.decide_desired(demand, now, slots, len(targets), bounds)
            in_force = len(targets) if demand.desired is None else demand.desired
            if desired != in_force:
                await self._order(service, zone, desired, demand, now)

    def _count_busy(self, targets: list[Target]) -> float:
        """Count the slots that the requests of all gateways take.

        Peers tell what they have under way at engines; of plain services each has about
        as much as this one.
        """
        busy = 0.0
        gateways = 1 + len(list_heard(self._peers))
        for target in targets:
            engine = self._fleet.find_engine(target)
            if engine is None:
                busy += target.in_flight * gateways
            else:
                busy += target.in_flight + sum(engine.peers_in_flight.values())
        return busy

    async def _order(
        self, service: str, zone: str, desired: int, demand: ZoneDemand, now: float
    ) -> None:
        key = (service, zone)
        if now - self._tried_at.get(key, -RETRY_S) < RETRY_S:
            return
        self._tried_at[key] = now
        try:
            await self._duties.catch_up()
            claim = await self._duties.hold()
        except LogServiceError as error:
            self._duties.must_read = True
            self._log("order not given yet", service=service, error=str(error))
            return
        if claim is None:
            return
        name = self._duties.authority.name
        outcome = await self._send(
            ScaleOrder(service, zone, desired, name, claim.fence)
        )
        self._log(
            "targets ordered",
            service=service,
            zone=zone,
            desired=desired,
            fence=claim.fence,
            outcome=outcome.value,
        )
        if outcome is DutyOutcome.TAKEN:
            demand.desired = desired
        elif outcome is DutyOutcome.FENCED:
            self._duties.note_fenced()
