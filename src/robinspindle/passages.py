"""What the relay knows of one request on its way, and what its parts share."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from collections.abc import Set as AbstractSet
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Protocol

from robinspindle.connectionpool import ConnectionPool
from robinspindle.core import forwarding, streamversions
from robinspindle.core.answerstats import AnswerStats
from robinspindle.core.answertimes import AnswerTimes
from robinspindle.core.bodies import Body
from robinspindle.core.copies import AnswerCopy
from robinspindle.core.events import EventSplitter
from robinspindle.core.fingerprints import FingerprintedRequest
from robinspindle.core.forwarding import AnswerHead, CacheSource, Request, Send
from robinspindle.core.freshness import Freshness
from robinspindle.core.heldbytes import HeldBytes
from robinspindle.core.permits import OPEN, Permit
from robinspindle.core.policy import Policy
from robinspindle.core.prefillplacement import RequestPlan
from robinspindle.core.retrywindows import WindowedRetryBudget
from robinspindle.core.routes import STREAM, Route
from robinspindle.core.streamorigins import StreamKey, StreamOrigin
from robinspindle.core.streamversions import StreamBinding
from robinspindle.core.targets import Announcement, Target
from robinspindle.core.versionrecords import ServiceVersion
from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.fleet import Fleet
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.guard import Guard
from robinspindle.linkqueue import LinkQueue
from robinspindle.logs import Log
from robinspindle.peers import Peers
from robinspindle.replies import Reply
from robinspindle.usagebook import UsageBook
from robinspindle.zonetraffic import ZoneTraffic


class Dialect(Protocol):
    """How requests and answers are written on the wire."""

    def decode_request(
        self, method: str, target: bytes, headers: forwarding.Headers, now: float
    ) -> Request:
        """Decode the head of a caller's request."""

    def find_request_id(self, headers: forwarding.Headers) -> str:
        """Find the caller's id of a request."""

    def set_workspace(self, request: Request, name: str | None) -> Request:
        """Put the workspace of a request in the place of its key."""

    def add_body(self, request: Request, body: Body) -> Request:
        """Add the body."""

    def encode_request(self, request: Request, send: Send) -> bytes:
        """Write the head of a request for a target; its body follows as it came."""

    def encode_release(self, source: CacheSource) -> bytes:
        """Write a request that frees a prompt which was read and is not needed."""

    def decode_answer(
        self, status: int, reason: bytes, headers: forwarding.Headers
    ) -> AnswerHead:
        """Decode the head of a target's answer."""

    def encode_move(
        self, source: Announcement, id: str, destination: str, is_last: bool
    ) -> bytes:
        """Write a call that copies a run, or stops it and copies the rest."""

    def decode_move_answer(self, body: bytes) -> str:
        """Decode the answer to such a call; returns the handle of the copy."""

    def decode_prefill_answer(self, address: str, body: bytes) -> CacheSource:
        """Decode the answer to a prompt that was only read."""


@dataclass(frozen=True)
class Continuation:
    """Where a run goes on that its engine lost or stopped.

    Attributes:
        target: Where.
        source: Names the KV cache from which it goes on.
        is_paid: Whether a repeat has been taken for it.
        pool: Connections to use in place of the target's usual ones; None for those.
    """

    target: Target
    source: CacheSource
    is_paid: bool = False
    pool: ConnectionPool | None = None

    def as_unpaid(self) -> "Continuation":
        """Return the same for which a repeat has yet to be taken."""
        return replace(self, is_paid=False)


@dataclass
class Stop:
    """A run that its engine was asked to stop, so that it goes on elsewhere.

    Attributes:
        source: The engine.
        leaves_at: When the engine leaves, steady seconds.
        settled: Set when it is known where the run goes on.
        places: Where it may go on, the best place first; none if it was not stopped.
        is_begun: Whether it has been sent to one of them.
    """

    source: Target
    leaves_at: float
    settled: asyncio.Event = field(default_factory=asyncio.Event)
    places: list[Continuation] = field(default_factory=list)
    is_begun: bool = False


@dataclass(frozen=True)
class GivenUp:
    """A request that no further target gets.

    Attributes:
        reason: Why, in one word, for logs and metrics.
    """

    reason: str


@dataclass(frozen=True)
class Hedge:
    """A second attempt at a request, beside the first one.

    Attributes:
        passage: What the second attempt has done for the request.
        task: Runs it; its result is None if it delivered.
    """

    passage: "Passage"
    task: asyncio.Task[GivenUp | None]


class Streams(Protocol):
    """What the gateways remember of who began which stream."""

    def note_begun(
        self, key: StreamKey, origin: StreamOrigin, is_kept: bool = False
    ) -> None:
        """Remember who began a stream, and again when it goes on."""

    def note_whole(self, key: StreamKey) -> None:
        """Take note that a stream is whole."""

    async def find(self, key: StreamKey) -> StreamOrigin | None:
        """Find who began a stream; None if no gateway that answers in time knows."""

    async def find_kept(self, key: StreamKey) -> StreamOrigin | None:
        """Find in the store who began a stream."""


class Versions(Protocol):
    """Which software versions may begin streams, and have begun some."""

    def may_begin(self, announced: Announcement) -> bool:
        """Whether a stream that may be taken up may begin at a target."""

    async def await_first(self, services: list[str]) -> None:
        """Wait until streams may begin at some listed version, if one soon may."""

    def has_several(self, services: list[str]) -> bool:
        """Whether streams of some services may have been begun by several versions."""

    async def find_sole(
        self, services: list[str], time_limit_s: float
    ) -> ServiceVersion | None:
        """Find the version that began every stream of some services, if one did."""


@dataclass
class BeginCount:
    """Whether a request was counted as begun, shared by attempts beside each other.

    Attributes:
        is_done: Whether it was.
    """

    is_done: bool = False


@dataclass
class Passage:
    """What has been done for one request so far.

    Attributes:
        request: The request.
        reply: The answer to the caller.
        route: Its route.
        service: The service chosen for it.
        named: The request by what it asks for.
        due: When its final answer is due, steady seconds.
        aim_at: When its first event, or its answer, should be on its way.
        first_due: When its caller gives up if nothing of its answer has come.
        permit: By whose key it may run.
        rank: Its rank among the requests to its service; 0 is the highest.
        tried: Lifetimes that it was sent to.
        offers: Times that it was sent to be run.
        runs: Targets that may have run it.
        earlier_runs: Those of them before a second attempt began.
        reads: Times that its prompt was sent to be read apart.
        splitter: The events passed on so far.
        fault: A target's own failure that is passed on if nothing better comes.
        last_reason: Why the latest sending did not deliver.
        is_long: Whether its answer is expected to be long.
        is_prompt_underserved: Whether prompts of its length are underserved.
        is_answer_underserved: Whether answers of the length that its caller
            expects are underserved.
        counts_as_served: Whether it was counted as served when it was planned.
        is_caller_retry: Whether its caller retries after a refusal, judged by the time
            that it has left.
        plan: The latest plan, for logs.
        read_at: When its prompt had been read apart, steady seconds.
        count: Whether it was counted as begun, for all of its attempts.
        sent_at: When it was last sent to a target, steady seconds.
        first_at: When its answer began, steady seconds.
        longest_pause_s: The longest pause between two events of it, seconds.
        hedge: The second attempt beside this one; None for none.
        break_rival: Breaks off the attempt beside which this one began; None for none.
        is_superseded: Whether another attempt's answer has begun instead of this one's.
        stream: The stream that it begins or goes on with.
        copy: Where its latest run is copied to; None for no copy.
        continuation: Where its lost or stopped run goes on next; None for nowhere.
        stop: What became of its run when its engine was asked to stop it; None if it
            wasn't.
        wait: The time limit of the wait for a target that is under way; None for none.
    """

    request: Request
    reply: Reply
    route: Route
    service: str
    named: FingerprintedRequest
    due: float
    aim_at: float
    first_due: float
    permit: Permit = OPEN
    rank: int = 0
    tried: set[str] = field(default_factory=set)
    offers: int = 0
    runs: int = 0
    earlier_runs: int = 0
    reads: int = 0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    fault: tuple[AnswerHead, bytes] | None = None
    last_reason: str = ""
    is_long: bool = False
    is_prompt_underserved: bool = False
    is_answer_underserved: bool = False
    counts_as_served: bool = False
    is_caller_retry: bool = False
    plan: RequestPlan | None = None
    read_at: float | None = None
    count: BeginCount = field(default_factory=BeginCount)
    sent_at: float | None = None
    first_at: float | None = None
    longest_pause_s: float = 0.0
    hedge: Hedge | None = None
    break_rival: Callable[[], None] | None = None
    is_superseded: bool = False
    stream: StreamBinding = field(default_factory=StreamBinding)
    copy: AnswerCopy | None = None
    continuation: Continuation | None = None
    stop: Stop | None = None
    wait: asyncio.Timeout | None = None

    @property
    def given_up_at(self) -> float:
        """When its caller gives up, steady seconds; earlier until an event has come."""
        return self.due if self.reply.has_begun else self.first_due

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream."""
        return self.route.kind == STREAM


@dataclass
class Ending:
    """When the process ends.

    Attributes:
        at: When all answers have to have ended, steady seconds; infinite while it was
            not asked to stop.
    """

    at: float = math.inf


@dataclass(frozen=True)
class Means:
    """What the parts of the relay share.

    Attributes:
        dialect: How requests and answers are written.
        fleet: The targets.
        peers: The other gateways.
        guard: Knows which requests crash targets.
        budget: Repeats that may be made.
        lengths: What is known of how long answers last.
        freshness: What is known of the age of the configuration.
        held: Counts what is held for callers that read slowly.
        book: Counts what began to run.
        link: The VM's own link.
        streams: Remembers who began which stream.
        versions: Knows which software versions may have begun streams.
        policy: Tells which decisions are in force.
        zone: The gateway's availability zone.
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
        metrics: The gateway's metrics.
        traffic: Counts the bytes between availability zones.
        zone_terms: Tells the operator's terms for that traffic.
        answer_times: How long answers take.
        ending: When the process ends.
    """

    dialect: Dialect
    fleet: Fleet
    peers: Peers
    guard: Guard
    budget: WindowedRetryBudget
    lengths: AnswerStats
    freshness: Freshness
    held: HeldBytes
    book: UsageBook
    link: LinkQueue
    streams: Streams
    versions: Versions
    policy: Callable[[], Policy]
    zone: str
    clock: Callable[[], float]
    log: Log
    metrics: GatewayMetrics
    traffic: ZoneTraffic
    zone_terms: Callable[[], ZoneTerms] = ZoneTerms
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)
    ending: Ending = field(default_factory=Ending)


def list_continuing(
    means: Means, passage: Passage, now: float, left_out: AbstractSet[str] = frozenset()
) -> list[Target]:
    """List the targets that may go on with an answer which another one began.

    Args:
        means: What the relay has.
        passage: The request.
        now: The present time, steady seconds.
        left_out: Lifetimes to leave out besides.
    """
    barred = streamversions.list_barred(means.fleet.directory, passage.stream)
    avoided = means.guard.list_avoided(passage.named)
    return means.fleet.list_usable(
        passage.service, now, passage.tried | avoided | barred | left_out
    )


def is_stopped(passage: Passage, target: Target) -> bool:
    """Tell whether a target was asked to stop the run of a request, to move it."""
    return passage.stop is not None and passage.stop.source is target


@asynccontextmanager
async def limit_wait(
    passage: Passage, seconds: float
) -> AsyncIterator[asyncio.Timeout]:
    """Limit a wait for a target; a stop of the process may end it sooner.

    Args:
        passage: The request that waits.
        seconds: Longest wait.

    Raises:
        TimeoutError: When the time is over.
    """
    async with asyncio.timeout(seconds) as limit:
        passage.wait = limit
        try:
            yield limit
        finally:
            passage.wait = None


def end_by(passage: Passage, end_at: float, now: float) -> None:
    """Have a request answered by a time, whatever it waits for.

    Args:
        passage: The request.
        end_at: When its answer has to have ended, steady seconds.
        now: The present time, steady seconds.
    """
    passage.due = min(passage.due, end_at)
    passage.first_due = min(passage.first_due, end_at)
    if passage.wait is not None and not passage.wait.expired():
        when = asyncio.get_running_loop().time() + end_at - now
        passage.wait.reschedule(min(passage.wait.when(), when))
    if passage.hedge is not None:
        end_by(passage.hedge.passage, end_at, now)
