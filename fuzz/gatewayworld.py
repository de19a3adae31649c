"""Gateways in memory: their decisions, a store that lags, and targets that leave.

Each gateway has a steady clock of its own, reads the store when it is let, and may be
cut from it. Nothing here decides: it feeds the product's decisions and keeps what they
led to for the oracle.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from robinspindle.core import (
    authority,
    forwarding,
    health,
    retrywindows,
    routes,
    targets,
)
from robinspindle.core.authority import Authority, Claim
from robinspindle.core.lifetimes import find_id, find_start_ms, make_lifetime
from robinspindle.core.retrywindows import WindowedRetryBudget
from robinspindle.core.routes import Route, RouteTable
from robinspindle.core.targets import Announcement, Directory

GATEWAYS = 3
TARGETS = 4

LEASE_S = 3.0
"""What a claim lasts, seconds."""

HOLD_S = 0.7
"""How long a target whose entry went is still used, seconds."""

RATIO = 0.2
SLACK = 6.0
WINDOW_S = 10.0
"""Repeats that may be made within a window of this many seconds: a share of the
requests in it, and a fixed number."""

SHARES = 6
"""Gateways among which the fixed part of the repeats is divided: more than exist."""

SERVICE = "push"

GARBAGE = "garbage"
"""Stands for an entry that names no target."""

MOST_STEP_S = 0.5
"""The longest step of time, seconds."""

DRAWS = 64
"""Each of a move's two numbers is drawn from this many, from 0."""

ONCE = Route("once", "h", "/", routes.AT_MOST_ONCE, 5.0, 1.0, attempts=2)
AGAIN = Route("again", "h", "/", routes.IDEMPOTENT, 5.0, 1.0, attempts=2)


class Outcome(Enum):
    """What becomes of one sending.

    Attributes:
        DELIVERED: It ran and its answer came.
        RAN_UNHEARD: It ran; its answer was lost or is a failure.
        SILENT: It did not run, but its gateway can't know that.
        TURNED_AWAY: It did not run, and its gateway was told so.
    """

    DELIVERED = 0
    RAN_UNHEARD = 1
    SILENT = 2
    TURNED_AWAY = 3


@dataclass(frozen=True)
class OrderGiven:
    """An order that reached an engine.

    Attributes:
        at: When, seconds of the world.
        gateway: By which gateway.
        fence: The fencing number of the claim that it was given under.
    """

    at: float
    gateway: str
    fence: int


@dataclass(frozen=True)
class Sent:
    """A request that was sent to a target.

    Attributes:
        at: When, seconds of the world.
        gateway: By which gateway.
        target: To which target's lifetime.
        is_leaving: Whether the gateway had read that the target leaves.
        missing_since: When the gateway had read that its entry is gone; None if not.
        is_over: Whether the gateway had read that the target started again since.
        is_unreadable: Whether the gateway had read last that its entry is garbage.
    """

    at: float
    gateway: str
    target: str
    is_leaving: bool
    missing_since: float | None
    is_over: bool = False
    is_unreadable: bool = False


@dataclass(frozen=True)
class Attempt:
    """One attempt of a caller, ended.

    Attributes:
        route: Its route.
        runs: How often targets really ran it.
        says_not_run: Whether its caller may be told that it did not run.
    """

    route: Route
    runs: int
    says_not_run: bool


@dataclass
class GatewayView:
    """One gateway.

    Attributes:
        name: Its name.
        offset_s: Its steady clock less the world's time, seconds.
        authority: What it has seen of claims.
        directory: The targets that it knows.
        budget: Its share of the repeats.
        table: The configuration in force.
        claim: The claim that it may give orders under.
        read: Records that it has read of each topic.
        is_cut: Whether it is cut from the store.
        missing_at: When it read that an entry is gone, by id.
    """

    name: str
    offset_s: float
    authority: Authority
    directory: Directory
    budget: WindowedRetryBudget
    table: RouteTable | None = None
    claim: Claim | None = None
    read: dict[str, int] = field(default_factory=dict)
    is_cut: bool = False
    missing_at: dict[str, float] = field(default_factory=dict)


@dataclass
class GatewayWorld:
    """Everything.

    Attributes:
        now: Time, seconds.
        gateways: The gateways.
        claims: Authors of claims, in the order of the log.
        versions: Configurations in the order of the log; older ones may come again.
        entries: Targets' entries in the order of the log, by id; None for one that is
            gone, `GARBAGE` for one that another wrote.
        born_ms: When the present life of each id began.
        orders: Orders that reached engines.
        sendings: Requests that reached targets.
        attempts: Attempts that ended.
        requests: When requests came.
        repeats: When requests were sent again.
        in_force: Versions in force at each gateway, in order.
    """

    now: float = 100.0
    gateways: list[GatewayView] = field(default_factory=list)
    claims: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    entries: list[tuple[str, Announcement | str | None]] = field(default_factory=list)
    born_ms: dict[str, int] = field(default_factory=dict)
    orders: list[OrderGiven] = field(default_factory=list)
    sendings: list[Sent] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)
    in_force: dict[str, list[int]] = field(default_factory=dict)


def make_gateway_world() -> GatewayWorld:
    """Make a world in which all gateways know all targets."""
    world = GatewayWorld()
    for number in range(GATEWAYS):
        name = f"g{number}"
        view = GatewayView(
            name=name,
            offset_s=1000.0 * number,
            authority=Authority(name, LEASE_S),
            directory=Directory(missing_grace_s=HOLD_S),
            budget=WindowedRetryBudget(RATIO, SLACK / SHARES, WINDOW_S),
        )
        world.gateways.append(view)
    for number in range(TARGETS):
        _announce(world, f"t{number}", leaving=False)
    for view in world.gateways:
        read_store(world, view)
    return world


def read_store(world: GatewayWorld, view: GatewayView) -> None:
    """Let a gateway read all that it lacks, unless it is cut."""
    now = world.now + view.offset_s
    if view.is_cut:
        targets.note_store_unavailable(view.directory, now)
        return
    targets.note_store_recovered(view.directory, now)
    for holder in _take_unread(view, "claims", world.claims):
        authority.note_claim(view.authority, now, holder)
    view.authority.end = len(world.claims)
    for version in _take_unread(view, "versions", world.versions):
        table = RouteTable(version)
        if routes.is_newer(table, view.table):
            view.table = table
            world.in_force.setdefault(view.name, []).append(version)
    for id, entry in _take_unread(view, "entries", world.entries):
        if entry == GARBAGE:
            targets.note_unreadable(view.directory, id)
        elif entry is None:
            if targets.note_missing(view.directory, now, id):
                view.missing_at[id] = world.now
        elif not targets.apply_announcement(view.directory, entry, now).is_superseded:
            view.missing_at.pop(id, None)


def _take_unread(view: GatewayView, topic: str, records: list) -> list:
    unread = records[view.read.get(topic, 0) :]
    view.read[topic] = len(records)
    return unread


def _announce(world: GatewayWorld, id: str, leaving: bool, earlier: int = 0) -> None:
    born_ms = max(0, world.born_ms.setdefault(id, 0) - earlier)
    lifetime = make_lifetime(id, born_ms)
    announced = Announcement(lifetime, SERVICE, "x:1", "a", 6, leaving=leaving)
    world.entries.append((id, announced))


def _pass_time(world: GatewayWorld, first: int, second: int) -> None:
    world.now += MOST_STEP_S * (first + 1) / DRAWS


def _read(world: GatewayWorld, first: int, second: int) -> None:
    read_store(world, _pick(world, first))


def _cut_or_heal(world: GatewayWorld, first: int, second: int) -> None:
    view = _pick(world, first)
    view.is_cut = not view.is_cut
    read_store(world, view)


def _claim(world: GatewayWorld, first: int, second: int) -> None:
    view = _pick(world, first)
    now = world.now + view.offset_s
    if view.is_cut or not authority.may_claim(view.authority, now):
        return
    if view.authority.end != len(world.claims):
        return
    world.claims.append(view.name)
    # Every fourth answer is lost, and then nobody may act under the claim.
    if second % 4:
        view.claim = Claim(len(world.claims), now)


def _order(world: GatewayWorld, first: int, second: int) -> None:
    view = _pick(world, first)
    now = world.now + view.offset_s
    if view.claim is not None and authority.may_use(view.authority, view.claim, now):
        world.orders.append(OrderGiven(world.now, view.name, view.claim.fence))


def _publish(world: GatewayWorld, first: int, second: int) -> None:
    newest = max(world.versions, default=0)
    # A store that forgot its history may show an old record again.
    world.versions.append(newest + 1 if second % 3 else max(1, newest - 1))


def _leave(world: GatewayWorld, first: int, second: int) -> None:
    _announce(world, f"t{first % TARGETS}", leaving=True)


def _lapse(world: GatewayWorld, first: int, second: int) -> None:
    world.entries.append((f"t{first % TARGETS}", None))


def _return(world: GatewayWorld, first: int, second: int) -> None:
    _announce(world, f"t{first % TARGETS}", leaving=False)


def _start_again(world: GatewayWorld, first: int, second: int) -> None:
    id = f"t{first % TARGETS}"
    world.born_ms[id] += 1 + second % 3
    _announce(world, id, leaving=False)


def _tell_earlier_life(world: GatewayWorld, first: int, second: int) -> None:
    """An entry of a life that is over comes again."""
    _announce(world, f"t{first % TARGETS}", leaving=False, earlier=1 + second % 2)


def _write_garbage(world: GatewayWorld, first: int, second: int) -> None:
    world.entries.append((f"t{first % TARGETS}", GARBAGE))


def _serve(world: GatewayWorld, first: int, second: int) -> None:
    """Serve one attempt, with second tries as far as the gateway allows them."""
    view = _pick(world, first)
    now = world.now + view.offset_s
    route = ONCE if second % 2 else AGAIN
    world.requests.append(world.now)
    retrywindows.count_request(view.budget, now, SERVICE)
    tried: set[str] = set()
    offers = believed_runs = runs = 0
    while True:
        usable = health.list_usable(view.directory, SERVICE, now, tried)
        if not usable:
            break
        target = usable[(first + offers) % len(usable)]
        tried.add(target.announced.lifetime)
        _note_sent(world, view, target)
        offers += 1
        outcome = _find_outcome(second, offers)
        runs += outcome in (Outcome.DELIVERED, Outcome.RAN_UNHEARD)
        believed_runs += outcome is not Outcome.TURNED_AWAY
        if outcome is Outcome.DELIVERED:
            break
        if not forwarding.may_send_again(route, offers, believed_runs):
            break
        if not retrywindows.take_retry(view.budget, now, SERVICE):
            break
        world.repeats.append(world.now)
    world.attempts.append(Attempt(route, runs, says_not_run=believed_runs == 0))


def _find_outcome(number: int, offers: int) -> Outcome:
    # 7 has no divisor in common with the count: each offer meets another outcome.
    return Outcome((number // 2 + 7 * offers) % len(Outcome))


def _note_sent(world: GatewayWorld, view: GatewayView, target: targets.Target) -> None:
    lifetime = target.announced.lifetime
    id = find_id(lifetime)
    entries = world.entries[: view.read.get("entries", 0)]
    known = [entry for name, entry in entries if name == id]
    told = [entry for entry in known if isinstance(entry, Announcement)]
    newest_ms = max(find_start_ms(entry.lifetime) for entry in told)
    sent = Sent(
        at=world.now,
        gateway=view.name,
        target=lifetime,
        is_leaving=any(e.leaving for e in told if e.lifetime == lifetime),
        missing_since=view.missing_at.get(id),
        is_over=find_start_ms(lifetime) < newest_ms,
        is_unreadable=known[-1] == GARBAGE,
    )
    world.sendings.append(sent)


def _pick(world: GatewayWorld, number: int) -> GatewayView:
    return world.gateways[number % len(world.gateways)]


GATEWAY_MOVES: dict[str, Callable[[GatewayWorld, int, int], None]] = {
    "pass time": _pass_time,
    "read": _read,
    "cut or heal": _cut_or_heal,
    "claim": _claim,
    "order": _order,
    "publish": _publish,
    "leave": _leave,
    "lapse": _lapse,
    "return": _return,
    "start again": _start_again,
    "tell an earlier life": _tell_earlier_life,
    "write garbage": _write_garbage,
    "serve": _serve,
}
