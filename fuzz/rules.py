"""What a step of a fuzz run may do to the world, and how often each is drawn."""

from collections.abc import Callable
from dataclasses import dataclass

from fuzz.world import Process, World
from robinspindle.core.activerequests import LatencyObjective
from robinspindle.core.plans import make_plan
from robinspindle.core.records import (
    CalledOff,
    Confirmed,
    Drain,
    Planned,
    Published,
    RoleActed,
    ServeModel,
    SetRoles,
    Standing,
    Undrain,
)
from robinspindle.exceptions import IntentError
from robinspindle.messages import Work

PROMISE = LatencyObjective(10.0, 20.0)
TARGETS = ("e1", "e2", "e3", "s1", "s2")
ENTRIES = ("a", "b")
ROLES = ("prefill", "decode", "mixed")


def write_configuration() -> str:
    """Write the small deployment's configuration document."""
    lines = ["[fleet]", "name = fuzz", "entries = 2"]
    lines += [
        "[policy]",
        "queue_s = 15",
        "split_s = 0.01",
        "[model model]",
        "least_serving = 1",
    ]
    lines += ["[service service]", "least_serving = 1"]
    for number, name in enumerate(TARGETS):
        kind = "model = model" if name.startswith("e") else "service = service"
        fencing = "checked" if number % 2 == 0 else "ignored"
        lines += [f"[target {name}]", f"zone = z{number % 3}", kind, "slots = 2"]
        lines += [f"agent = 10.0.0.{number}:1", f"address = 10.0.0.{number}:2"]
        lines += [f"fencing = {fencing}"]
    return "\n".join(lines) + "\n"


@dataclass(frozen=True)
class Rule:
    """A rule: what it does, and how often it is drawn."""

    call: Callable[[World, int, int], None]
    weight: int


def _pick(world: World, number: int) -> Process:
    names = sorted(world.processes)
    return world.processes[names[number % len(names)]]


def _pick_entry(world: World, number: int) -> Process | None:
    entries = world.list_entries()
    return entries[number % len(entries)] if entries else None


def _submit(world: World, first: int, second: int) -> None:
    entry = _pick_entry(world, first)
    if entry is None:
        return
    request = world.make_id(f"{entry.name}-{entry.life}")
    is_call = second % 4 >= 2
    is_keyed = second % 2 == 1
    work = Work(
        request=request,
        kind="call" if is_call else "generate",
        pool="service" if is_call else "model",
        workspace=f"w{second % 3}",
        priority=second % 5,
        repeatable=not is_keyed,
        key=f"key-{request}" if is_keyed and second % 16 < 12 else "",
        digest="d" if is_keyed else "",
        prompt=f"p{request}",
        prompt_tokens=10 * (second % 7),
        max_tokens=0 if is_call else 1 + second % 12,
    )
    world.submit(entry.name, work, PROMISE)


def _retry(world: World, first: int, second: int) -> None:
    """A caller sends a keyed request again, through any entry."""
    entry = _pick_entry(world, first)
    keyed = [row.work for row in world.callers.values() if row.work.key][-6:]
    if entry is None or not keyed:
        return
    work = keyed[second % len(keyed)]
    fields = {name: getattr(work, name) for name in work.__struct_fields__}
    fields["request"] = world.make_id(f"{entry.name}-{entry.life}")
    world.submit(entry.name, Work(**fields), PROMISE)


def _lose_run(world: World, first: int, second: int) -> None:
    """A keyed run loses its agent midway, and its caller tries another entry."""
    entry = _pick_entry(world, first)
    if entry is None:
        return
    _submit(world, first, 1 + 16 * (second % 4))
    world.advance(0.5 + second / 100)
    request = list(world.callers)[-1]
    for name, target in world.targets.items():
        if any(row.work.request == request for row, _, _ in target.running.values()):
            world.kill(name)
            world.restart(name)
            break
    world.advance(1.0)
    _retry(world, first + 1, -1)


def _crash(world: World, first: int, second: int) -> None:
    target = world.targets[TARGETS[first % len(TARGETS)]]
    if target.is_service:
        target.break_all("lost answer")
    else:
        target.crash()


def _link(world: World, first: int, second: int) -> tuple[str, str]:
    return ENTRIES[first % len(ENTRIES)], TARGETS[second % len(TARGETS)]


def _publish(world: World, first: int, second: int) -> None:
    entry = _pick_entry(world, first)
    if entry is None:
        return
    text = write_configuration() + f"# change {world.serial}\n"
    if second % 3 == 0:
        text += "[nonsense]\n"
    world.append(entry, Published(id=world.make_id("publish"), text=text))


def _plan(world: World, first: int, second: int) -> None:
    entry = _pick_entry(world, first)
    if entry is None:
        return
    target = TARGETS[second % len(TARGETS)]
    intents = (
        Drain(targets=(target,)),
        Undrain(targets=(target,)),
        SetRoles(model="model", prefill=1, decode=1, mixed=1),
        SetRoles(model="model", mixed=3),
        ServeModel(model="model", targets=(target,), version=str(second)),
    )
    intent = intents[second % 7 % len(intents)]
    _submit_intent(world, entry, intent)


def _confirm(world: World, first: int, second: int) -> None:
    _answer_plan(world, first, second, Confirmed, "confirm")


def _answer_plan(
    world: World, first: int, second: int, record: type, word: str
) -> None:
    """Append a record about one of the last plans that an entry knows."""
    entry = _pick_entry(world, first)
    if entry is None:
        return
    plans = list(entry.stream.state.plans)[-4:]
    if plans:
        plan = plans[second % len(plans)]
        world.append(entry, record(id=world.make_id(word), plan=plan))


def _submit_intent(world: World, entry: Process, intent) -> Planned | None:
    """Append the plan of an intent, if there is one."""
    try:
        planned = make_plan(entry.stream.state, intent, world.make_id("plan"), "op")
    except IntentError:
        return None
    world.append(entry, planned)
    return planned


def _state_and_confirm(world: World, entry: Process, intent) -> None:
    planned = _submit_intent(world, entry, intent)
    if planned is not None:
        world.append(entry, Confirmed(id=world.make_id("confirm"), plan=planned.id))


def _drain_all(world: World, first: int, second: int) -> None:
    """An operator drains one engine after the other, and puts them back."""
    for number in range(3):
        entry = _pick_entry(world, first)
        if entry is None:
            return
        target = TARGETS[(second + number) % 3]
        _state_and_confirm(world, entry, Drain(targets=(target,)))
        world.advance(8.0)
    entry = _pick_entry(world, first)
    if entry is not None:
        _state_and_confirm(world, entry, Undrain(targets=TARGETS[:3]))


def _change(world: World, first: int, second: int) -> None:
    """An operator has an engine load something, with requests under way."""
    entry = _pick_entry(world, first)
    if entry is None:
        return
    _submit(world, first, second)
    target = TARGETS[second % 3]
    version = f"v{world.serial}"
    intent = ServeModel(model="model", targets=(target,), version=version)
    _state_and_confirm(world, entry, intent)


def _offer_stale(world: World, first: int, second: int) -> None:
    """An entry that is cut from the log offers work to a target that leaves."""
    entries = world.list_entries()
    if len(entries) < 2:
        return
    stale, other = entries[first % 2], entries[(first + 1) % 2]
    stale.is_cut = True
    version = f"v{world.serial}"
    targets = (TARGETS[second % 3],)
    intent = ServeModel(model="model", targets=targets, version=version)
    _state_and_confirm(world, other, intent)
    for number in range(8):
        world.advance(0.15)
        _submit(world, first % 2, 4 * number)


def _call_off(world: World, first: int, second: int) -> None:
    _answer_plan(world, first, second, CalledOff, "call-off")


def _stand(world: World, first: int, second: int) -> None:
    """Two entries state and confirm a standing intent."""
    entry = _pick_entry(world, first)
    if entry is None:
        return
    intent = Standing(
        model="model", most_prefill=1 + second % 2, cooldown_s=1, changes_per_hour=50
    )
    _state_and_confirm(world, entry, intent)


def _act(world: World, first: int, second: int) -> None:
    """An entry that believes to hold the lease changes a role."""
    entry = _pick_entry(world, first)
    if entry is None:
        return
    lease = entry.stream.state.lease
    record = RoleActed(
        id=world.make_id("act"),
        holder=f"{entry.name}/{entry.life}",
        fence=lease.fence,
        target=TARGETS[second % 3],
        role=ROLES[second % 3],
        at=world.now,
    )
    world.append(entry, record)


def _act_late(world: World, first: int, second: int) -> None:
    """A process frozen while it held the lease acts after another took it over."""
    entry = _pick_entry(world, first)
    if entry is None:
        return
    world.pause(entry.name)
    world.advance(20.0)
    _act(world, first, second)
    world.resume(entry.name)


def _advance(world: World, first: int, second: int) -> None:
    world.advance(0.05 + first * second / 1000)


RULES: dict[str, Rule] = {
    "submit": Rule(_submit, 30),
    "retry": Rule(_retry, 10),
    "advance": Rule(_advance, 30),
    "pause": Rule(lambda w, a, b: w.pause(_pick(w, a).name), 3),
    "resume": Rule(lambda w, a, b: w.resume(_pick(w, a).name), 6),
    "kill": Rule(lambda w, a, b: w.kill(_pick(w, a).name), 2),
    "stop": Rule(lambda w, a, b: w.stop(_pick(w, a).name), 3),
    "restart": Rule(lambda w, a, b: w.restart(_pick(w, a).name), 6),
    "cut_log": Rule(lambda w, a, b: setattr(_pick(w, a), "is_cut", True), 2),
    "mend_log": Rule(lambda w, a, b: setattr(_pick(w, a), "is_cut", False), 5),
    "cut_link": Rule(lambda w, a, b: w.cut_links.add(_link(w, a, b)), 2),
    "mend_link": Rule(lambda w, a, b: w.cut_links.discard(_link(w, a, b)), 5),
    "crash": Rule(_crash, 3),
    "lose_run": Rule(_lose_run, 2),
    "log_out": Rule(lambda w, a, b: setattr(w.log, "is_out", True), 1),
    "log_back": Rule(lambda w, a, b: setattr(w.log, "is_out", False), 4),
    "lose_answers": Rule(lambda w, a, b: setattr(w.log, "loses_answers", True), 1),
    "find_answers": Rule(lambda w, a, b: setattr(w.log, "loses_answers", False), 3),
    "publish": Rule(_publish, 3),
    "plan": Rule(_plan, 8),
    "confirm": Rule(_confirm, 8),
    "call_off": Rule(_call_off, 1),
    "drain_all": Rule(_drain_all, 1),
    "change": Rule(_change, 5),
    "offer_stale": Rule(_offer_stale, 2),
    "stand": Rule(_stand, 1),
    "act": Rule(_act, 2),
    "act_late": Rule(_act_late, 1),
    "checkpoint": Rule(
        lambda w, a, b: (
            w.checkpoint(_pick_entry(w, a).name, b) if _pick_entry(w, a) else None
        ),
        2,
    ),
}
