"""The oracle: knows callers' requests and what really ran, and no mechanism."""

from dataclasses import dataclass, field

from fuzz.fakes import make_token
from fuzz.world import World
from robinspindle.core.documents import parse_configuration
from robinspindle.core.effects import Ended, Refusal
from robinspindle.core.records import (
    AnyRecord,
    Confirmed,
    Planned,
    Published,
    Renewal,
    RoleActed,
    Takeover,
    decode_record,
)
from robinspindle.exceptions import InvalidDocumentError
from robinspindle.logservice import CONTROL

LEAVING_S = 4.0
ACCEPTED = ("running", "done", "failed")


@dataclass
class Oracle:
    """What was seen so far.

    Attributes:
        faults: Sentences, one for each broken promise.
        versions: Configuration version last seen in each process.
    """

    faults: list[str] = field(default_factory=list)
    versions: dict[tuple[str, int], int] = field(default_factory=dict)


def check_now(oracle: Oracle, world: World) -> None:
    """Check what must hold at every moment."""
    _check_callers(oracle, world)
    _check_runs(oracle, world)
    _check_orders(oracle, world)
    _check_conflicts(oracle, world)
    _check_leaving(oracle, world)
    _check_versions(oracle, world)
    _check_capacity(oracle, world)
    for run in world.cut_by_stop:
        oracle.faults.append(f"{run}: cut by a planned stop")


def check_end(oracle: Oracle, world: World) -> None:
    """Check what must hold after everything was healed and time has passed."""
    check_now(oracle, world)
    for request, row in world.callers.items():
        name, life = row.entry
        process = world.processes[name]
        survived = process.is_alive and process.life == life
        if survived and row.end is None:
            oracle.faults.append(f"{request}: no final answer")
    latest = find_version(world)
    for process in world.processes.values():
        if process.stream.state.version != latest:
            oracle.faults.append(f"{process.name}: configuration is not in force")
        for plan in process.stream.state.plans.values():
            if plan.status == "running":
                oracle.faults.append(f"{plan.id}: did not come to its end")


def find_version(world: World) -> int:
    """Find the configuration that is in force: the last valid one."""
    version = -1
    for offset, record in list_records(world):
        if not isinstance(record, Published):
            continue
        try:
            parse_configuration(record.text)
        except InvalidDocumentError:
            continue
        version = offset
    return version


def _check_callers(oracle: Oracle, world: World) -> None:
    for request, row in world.callers.items():
        work = row.work
        if work.kind == "generate":
            expected = [make_token(work.prompt, n) for n in range(work.max_tokens)]
            got = "".join(row.texts)
            if not "".join(expected).startswith(got):
                oracle.faults.append(f"{request}: a wrong answer: {got}")
            if isinstance(row.end, Ended) and got != "".join(expected):
                oracle.faults.append(f"{request}: ended before it was whole")
        if row.ends > 1:
            oracle.faults.append(f"{request}: {row.ends} final answers")
        if isinstance(row.end, Refusal) and row.end.ran == "no":
            _check_not_run(oracle, world, request, row)


def _check_not_run(oracle: Oracle, world: World, request: str, row) -> None:
    """A refusal that says "not run" is true, then and later.

    Another request with the same key may run: the refusal speaks of its own.
    """
    for target in world.targets.values():
        for run in target.runs:
            if run.work.request == request and run.work.stage != "prefill":
                oracle.faults.append(f"{request}: said not run, ran at {target.name}")


def _check_runs(oracle: Oracle, world: World) -> None:
    by_key: dict[str, int] = {}
    for target in world.targets.values():
        for run in target.runs:
            work = run.work
            if not work.repeatable:
                name = work.key or work.request
                by_key[name] = by_key.get(name, 0) + 1
    for name, count in by_key.items():
        if count > 1:
            oracle.faults.append(f"{name}: ran {count} times")


def _check_orders(oracle: Oracle, world: World) -> None:
    allowed = _list_allowed(world)
    for target in world.targets.values():
        highest = -1
        for order in target.orders:
            if not order.took_effect:
                continue
            place = f"{target.name}: order {order.fence}"
            if order.in_flight:
                oracle.faults.append(f"{place} cut {order.in_flight} requests")
            if order.was_busy:
                oracle.faults.append(f"{place} came during another")
            if order.fence < highest:
                oracle.faults.append(f"{place} came after {highest}")
            highest = max(highest, order.fence)
            if (target.name, order.step.action, order.step.role) not in allowed:
                oracle.faults.append(f"{place} was never confirmed")


def _list_allowed(world: World) -> set[tuple[str, str, str]]:
    """List the steps that operators confirmed, or the lease holder acted on."""
    plans: dict[str, Planned] = {}
    holder, fence, renewed = "", -1, -1
    allowed: set[tuple[str, str, str]] = set()
    for offset, record in list_records(world):
        if isinstance(record, Planned):
            plans[record.id] = record
        elif isinstance(record, Confirmed) and record.plan in plans:
            for step in plans[record.plan].steps:
                allowed.add((step.target, step.action, step.role))
        elif isinstance(record, Takeover) and record.after == renewed:
            holder, fence, renewed = record.holder, offset, offset
        elif isinstance(record, Renewal) and record.fence == fence:
            renewed = offset
        elif isinstance(record, RoleActed) and (holder, fence) == (
            record.holder,
            record.fence,
        ):
            allowed.add((record.target, "role", record.role))
    return allowed


def list_records(world: World) -> list[tuple[int, AnyRecord]]:
    """List the control stream's records with their offsets, repeats left out."""
    found = []
    seen: set[str] = set()
    for offset, data in enumerate(world.log.streams.get(CONTROL, [])):
        record = decode_record(data)
        if record is not None and record.id not in seen:
            seen.add(record.id)
            found.append((offset, record))
    return found


def _check_conflicts(oracle: Oracle, world: World) -> None:
    """Of two plans for a target, the later was made knowing of the earlier."""
    planned: dict[str, Planned] = {}
    accepted: dict[str, list[tuple[int, Planned]]] = {}
    statuses: dict[str, str] = {}
    for process in world.processes.values():
        for plan in process.stream.state.plans.values():
            statuses[plan.id] = plan.status
    for offset, record in list_records(world):
        if isinstance(record, Planned):
            planned[record.id] = record
        elif isinstance(record, Confirmed) and record.plan in planned:
            plan = planned.pop(record.plan)
            if statuses.get(plan.id) not in ACCEPTED:
                continue
            for step in plan.steps:
                for earlier, other in accepted.get(step.target, []):
                    if plan.base < earlier:
                        text = f"{plan.id}: accepted though {other.id} came first"
                        oracle.faults.append(text)
                accepted.setdefault(step.target, []).append((offset, plan))


def _check_leaving(oracle: Oracle, world: World) -> None:
    """A target that its agent knows to be leaving begins no new work."""
    for name, periods in world.leaving.items():
        for run in world.targets[name].runs:
            if any(p.since + LEAVING_S < run.at < p.until for p in periods):
                oracle.faults.append(f"{run.run}: new work at {name}, which leaves")


def _check_versions(oracle: Oracle, world: World) -> None:
    for process in world.processes.values():
        if not process.stream.is_ready:
            continue
        place = (process.name, process.life)
        version = process.stream.state.version
        before = oracle.versions.get(place, -1)
        if version < before:
            oracle.faults.append(f"{process.name}: configuration went back")
        oracle.versions[place] = version


def _check_capacity(oracle: Oracle, world: World) -> None:
    """No plan leaves a model without a target that the log lets serve."""
    for process in world.processes.values():
        state = process.stream.state
        if state.version < 0:
            continue
        serving = sum(
            1 for t in state.targets.values() if t.pool == "model" and t.serving
        )
        if serving < 1:
            oracle.faults.append(f"{process.name}: no target is left to serve")
