"""The tasks that run as long as a gateway does."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from robinspindle.cachelists import CacheLists
from robinspindle.core.answerstats import AnswerStats
from robinspindle.duties import Duties
from robinspindle.following import (
    Follower,
    KeyedStore,
    Outage,
    follow,
    note_follower_failed,
)
from robinspindle.guard import Guard
from robinspindle.introduction import Introduction
from robinspindle.listeners import Listeners
from robinspindle.logs import Log
from robinspindle.ordering import Orderer
from robinspindle.quarantinekeeping import QuarantineKeeper
from robinspindle.relay import Relay
from robinspindle.streamparts import StreamParts
from robinspindle.supervision import Task

PEERS_PORT = "peers"
"""The port for what gateways say to each other. Only one process of a VM has it, and
only that one speaks in the gateway's name."""

Run = Callable[[], Awaitable[None]]


@dataclass(frozen=True)
class TaskParts:
    """What the tasks belong to.

    Attributes:
        store: The store that is followed.
        followers: The topics to follow.
        minor_topic: The one without which a gateway still serves as it should.
        outage: Shared by the followers.
        introduction: Kept in the store.
        orderer: Gives orders to engines.
        relay: Knows what this gateway asks of engines.
        lengths: What is known of how long answers last.
        keeper: Writes quarantined requests.
        streams: Write origins and versions.
        guard: Checks targets whose state is unknown.
        duties: What one gateway does for all.
        cache_lists: Regains what caches hold; None where that is not to be done.
        listeners: Tell when a port is open.
        clock: Tells the present time, monotonic seconds.
        log: Takes log lines.
    """

    store: KeyedStore
    followers: list[Follower]
    minor_topic: str
    outage: Outage
    introduction: Introduction
    orderer: Orderer
    relay: Relay
    lengths: AnswerStats
    keeper: QuarantineKeeper
    streams: StreamParts
    guard: Guard
    duties: Duties
    cache_lists: CacheLists | None
    listeners: Listeners
    clock: Callable[[], float]
    log: Log


def list_tasks(parts: TaskParts, tell_peers: Run, keep_house: Run) -> list[Task]:
    """List the tasks of a gateway; each may begin anew at any time.

    Args:
        parts: What they belong to.
        tell_peers: Tells the peers what is due.
        keep_house: Does the jobs of each tick.
    """
    give_orders = partial(
        parts.orderer.run, parts.relay.chooser.read_rate, parts.lengths.find_pressure
    )
    tasks = [
        _speak(parts, "introduce", parts.introduction.keep),
        _speak(parts, "tell peers", tell_peers),
        *(_follow(parts, follower) for follower in parts.followers),
        _speak(parts, "give orders", give_orders),
        Task("keep house", keep_house),
        _speak(parts, "keep quarantine", parts.keeper.run),
        _speak(parts, "write versions", parts.streams.writer.run),
        _speak(parts, "write origins", parts.streams.kept.run),
        Task("check targets again", parts.guard.runs.recheck),
        _speak(parts, "duties", parts.duties.run),
    ]
    if parts.cache_lists is not None:
        tasks.append(Task("regain caches", parts.cache_lists.regain))
    return tasks


def _follow(parts: TaskParts, follower: Follower) -> Task:
    """Make the task that follows a topic; what it knows is kept in the follower."""
    return Task(
        f"follow {follower.topic}",
        partial(follow, parts.store, follower, parts.log, parts.outage, parts.clock),
        note_failure=partial(note_follower_failed, follower),
        is_vital=follower.topic != parts.minor_topic,
    )


def _speak(parts: TaskParts, name: str, run: Run) -> Task:
    """Make a task that speaks in the gateway's name: not beside another process."""

    async def run_alone() -> None:
        await parts.listeners.wait_open(PEERS_PORT)
        await run()

    return Task(name, run_alone)
