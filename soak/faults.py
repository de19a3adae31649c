"""Faults from outside the processes, chosen by a seed; each ends after a while."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak.callers import KINDS
from soak.clientcrowds import send_crowd
from soak.crashing import make_body, repeat
from soak.world import World

Fault = Callable[[World, float], Awaitable[None]]


COPY_AGE_S = 2.0
WRITTEN_AGAIN_S = 1.5
"""How old a copy of the store is at the most, and how long it takes until operators and
replicas have written again what it lacks, seconds."""

CRASHING_S = 5.0
CONTACT_S = 3.0
MOST_LATE = 3
"""How long a crashing request is repeated, seconds, how long after its third crash all
gateways in touch have to know it, and how many sendings may cross that."""

GARBAGE = (
    b"\xff\x00 no entry",
    b"{}",
    b'{"Service": "lm", "Address": 7, "State": "ready"}',
    b"[" * 5000,
    b"x" * 100_000,
)
"""Entries that name no replica."""


async def kill_gateway(world: World, seconds: float) -> None:
    """Kill a gateway and start it again."""
    gateway = world.rng.choice(world.gateways)
    async with gateway.lock:
        await gateway.end(signal.SIGKILL)
        await asyncio.sleep(seconds)
        await gateway.start()


async def roll_gateway(world: World, seconds: float) -> None:
    """Ask a gateway to stop and start it again."""
    gateway = world.rng.choice(world.gateways)
    async with gateway.lock:
        holds_signals = gateway.holds_signals()
        code = await gateway.end(signal.SIGTERM)
        if code != 0 and (holds_signals or code != -signal.SIGTERM):
            world.oracle.findings.append(f"{gateway.name} ended with {code}")
        await gateway.start()


async def pause_gateway(world: World, seconds: float) -> None:
    """Freeze a gateway and let it go on."""
    gateway = world.rng.choice(world.gateways)
    async with gateway.lock:
        gateway.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.process.send_signal(signal.SIGCONT)


async def cut_store(world: World, seconds: float) -> None:
    """Cut a gateway's way to the store, one way or both."""
    proxy = world.rng.choice(list(world.store_proxies.values()))
    proxy.cut = world.rng.choice(["in", "out", "both"])
    await asyncio.sleep(seconds)
    proxy.cut = ""


async def trouble_store(world: World, seconds: float) -> None:
    """Have the store refuse, reset, fall silent or lose its answers."""
    world.store.trouble = world.rng.choice(["busy", "reset", "silent", "lost"])
    world.store.server.reset_all()
    await asyncio.sleep(seconds)
    world.store.trouble = ""
    world.store.server.reset_all()


async def forget_history(world: World, seconds: float) -> None:
    """Drop the store's history; the newest of each key stay."""
    for topic in ("keyed.op", "keyed.servers", "keyed.gateways"):
        world.store.compact(topic)


async def harm_replica(world: World, seconds: float) -> None:
    """Delay, cut or reset the way to a replica."""
    await world.await_replicas()
    proxy = world.rng.choice(list(world.replica_proxies.values()))
    proxy.delay_s = world.rng.choice([0.0, 0.1])
    proxy.cut = world.rng.choice(["", "in", "out", "both"])
    if world.rng.random() < 0.5:
        proxy.reset_all()
    await asyncio.sleep(seconds)
    proxy.delay_s, proxy.cut = 0.0, ""


async def spoil_replicas(world: World, seconds: float) -> None:
    """Have replicas misbehave in a part of their answers."""
    replicas = world.rng.sample(
        list(world.replicas.values()), min(3, len(world.replicas))
    )
    for replica in replicas:
        replica.bad_share = world.rng.choice([0.1, 0.5])
    await asyncio.sleep(seconds)
    for replica in replicas:
        replica.bad_share = 0.0


async def replace_replica(world: World, seconds: float) -> None:
    """Have a replica say that it leaves, add another, and end it later."""
    replica = world.rng.choice(await world.await_replicas())
    replica.is_leaving = True
    await world.announce(replica, "draining")
    await world.add_replica(replica.service, replica.role)
    await asyncio.sleep(max(2.0, seconds))
    await world.store.put("keyed.servers", replica.lifetime, None)
    await world.remove_replica(replica.lifetime)


async def restart_replicas(world: World, seconds: float) -> None:
    """Have replicas start again under their ids, some of them twice in a heartbeat."""
    ids = [id for id, replica in world.replicas.items() if not replica.is_leaving]
    for id in world.rng.sample(ids, min(len(ids), world.rng.choice([1, 1, 2, 3]))):
        for _ in range(world.rng.choice([1, 1, 2])):
            await world.restart_replica(id, world.rng.choice([0.0, 0.05, seconds / 4]))


async def write_garbage(world: World, seconds: float) -> None:
    """Have another writer spoil entries, also those of replicas in use."""
    await world.await_replicas()
    ids = world.rng.sample(list(world.replicas), 1)
    for key in ("other", b"\xff\xfe", *ids):
        await world.store.put("keyed.servers", key, world.rng.choice(GARBAGE))
    await asyncio.sleep(seconds)
    for id in ids:
        replica = world.replicas.get(id)
        if replica is not None:
            state = "draining" if replica.is_leaving else "ready"
            await world.announce(replica, state)


async def change_configuration(world: World, seconds: float) -> None:
    """Put configurations in force in quick succession."""
    for _ in range(world.rng.randint(1, 4)):
        await world.configure()
        await asyncio.sleep(0.05)


async def return_store_from_copy(world: World, seconds: float) -> None:
    """Have the store come back from a copy some seconds old; others write again."""
    copied = world.store.take_copy()
    await asyncio.sleep(min(seconds, COPY_AGE_S))
    world.store.trouble = "silent"
    world.store.server.reset_all()
    await asyncio.sleep(seconds / 4)
    world.store.trouble = ""
    world.store.return_from(copied)
    await asyncio.sleep(world.rng.uniform(0.0, WRITTEN_AGAIN_S))
    await world.put_configuration()
    for replica in list(world.replicas.values()):
        await world.announce(replica, "draining" if replica.is_leaving else "ready")


async def repeat_crashing(world: World, seconds: float) -> None:
    """Have a caller repeat a request that crashes whoever runs it."""
    account, body = world.account, make_body(len(world.account.sent))
    account.sent[body] = []
    kind = world.rng.choice(KINDS)
    caller = asyncio.create_task(repeat(world, account, kind, body))
    await asyncio.sleep(CRASHING_S + seconds)
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)
    late = account.count_late(body, CONTACT_S)
    if late > MOST_LATE:
        text = f"{body[:8].decode()}: sent {late} times after the third crash"
        world.oracle.findings.append(text)


async def exchange_keys(world: World, seconds: float) -> None:
    """Take keys away and give others, one after the other."""
    for _ in range(world.rng.choice([1, 1, 3])):
        gone = world.keys.exchange()
        await world.configure()
        world.keys.note_acknowledged(gone)
        await asyncio.sleep(seconds / 4)


async def trouble_duties(world: World, seconds: float) -> None:
    """Have the platform refuse reports, reset, fall silent or lose its answers."""
    world.keys.api.trouble = world.rng.choice(["busy", "reset", "silent", "lost"])
    await asyncio.sleep(2 * seconds)
    world.keys.api.trouble = ""
    world.keys.api.server.reset_all()


FAULTS: tuple[Fault, ...] = (
    kill_gateway,
    roll_gateway,
    pause_gateway,
    cut_store,
    trouble_store,
    forget_history,
    harm_replica,
    spoil_replicas,
    replace_replica,
    change_configuration,
)

CROWD_FAULTS: tuple[Fault, ...] = (*FAULTS, *(send_crowd,) * 10)
"""The same, with crowds of clients that don't behave more often."""

RESTART_FAULTS: tuple[Fault, ...] = (*FAULTS, *(restart_replicas, write_garbage) * 3)
"""The same, with replicas that start again and garbage among them more often."""

KEY_FAULTS: tuple[Fault, ...] = (*FAULTS, *(exchange_keys, trouble_duties) * 3)
"""The same, with keys that are taken away and trouble with reports more often."""

CRASH_FAULTS: tuple[Fault, ...] = (*RESTART_FAULTS, *(repeat_crashing,) * 4)
"""The same, with requests that crash replicas."""

ERA_FAULTS: tuple[Fault, ...] = (*CRASH_FAULTS, *(return_store_from_copy,) * 5)
"""The same, with a store that returns from a copy."""
