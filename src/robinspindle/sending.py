"""What all sendings to a target have in common, whatever is sent."""

from collections.abc import Callable, Iterator
from contextlib import AbstractAsyncContextManager, contextmanager
from dataclasses import dataclass

from robinspindle.calls import CallLimits, call_apart
from robinspindle.connectionpool import ConnectionPool, borrow
from robinspindle.core import health, permits
from robinspindle.core.forwarding import AnswerHead, CacheSource, Send
from robinspindle.core.lifetimes import find_id
from robinspindle.core.priorities import LATE_LEVEL, REQUEST_PRIORITIES, find_rank_level
from robinspindle.core.silence import ExpectedResponse
from robinspindle.core.targets import Target
from robinspindle.exceptions import CallerLeftError
from robinspindle.httpclient import (
    ClientConnection,
    ConnectionBrokenError,
    Exchange,
    NotSentError,
)
from robinspindle.passages import Means, Passage

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a new connection to a target, seconds: many round trips, and a
part of the shortest aim that leaves time for another target."""

LEAST_URGENCY = 9
"""The least urgent that a target is told of; a route's priority may lie beyond it."""


RELEASE_LIMITS = CallLimits(CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S)
"""How long the answer to a release is waited for: as short as for a connection, as what
is not freed lapses by itself."""


def do_nothing() -> None:
    """Stand for a call that nobody waits for."""


@dataclass(frozen=True)
class Sending:
    """One sending of a request to be run.

    Attributes:
        target: Where to.
        source: Where its read prompt is; None to read it there.
        cache_source: From whose cache the target first fetches what it lacks; None for
            none.
        on_first: Called when the answer begins.
        copy_target: Where the KV cache of its answer is copied as it grows; None for
            no copy.
        is_continued: Whether its source is the copy of an answer that goes on.
        pool: Connections to use in place of the target's usual ones; None for those.
    """

    target: Target
    source: CacheSource | None = None
    cache_source: Target | None = None
    on_first: Callable[[], None] = do_nothing
    copy_target: Target | None = None
    is_continued: bool = False
    pool: ConnectionPool | None = None


def borrow_connection(
    means: Means, target: Target, pool: ConnectionPool | None = None
) -> AbstractAsyncContextManager[ClientConnection]:
    """Take a connection to a target and give it back in the end."""
    pool = pool or means.fleet.find_pool(target)
    return borrow(pool, means.clock, CONNECT_TIMEOUT_S)


@contextmanager
def expect(target: Target, expected: ExpectedResponse) -> Iterator[ExpectedResponse]:
    """Expect to hear of a target, for as long as a request is under way there."""
    target.liveness.expected.add(expected)
    try:
        yield expected
    finally:
        target.liveness.expected.discard(expected)


def make_send(
    passage: Passage, sending: Sending, now: float, prefill_only: bool = False
) -> Send:
    """Make what a target is told besides the request itself.

    Args:
        passage: The request.
        sending: Where it is sent, and where its prompt is.
        now: The present time, steady seconds.
        prefill_only: Whether only its prompt is to be read.
    """
    prompt = passage.request.prompt
    urgency = min(LEAST_URGENCY, passage.rank)
    if prompt is not None:
        urgency = REQUEST_PRIORITIES[_find_level(passage, sending)]
    events = passage.splitter.events
    due = passage.given_up_at if prefill_only else passage.due
    return Send(
        lifetime=sending.target.announced.lifetime,
        left_s=due - now,
        priority=urgency,
        prefill_only=prefill_only,
        source=sending.source,
        cached_parts_address=sending.cache_source.announced.address
        if sending.cache_source
        else "",
        resume_after=passage.splitter.last_id if events else None,
        copy_address=sending.copy_target.announced.address
        if sending.copy_target
        else "",
    )


def _find_level(passage: Passage, sending: Sending) -> int:
    """Find how urgent a sending is: what was read already waits behind nothing late."""
    if sending.source is not None and passage.plan.level == LATE_LEVEL:
        return find_rank_level(passage.rank)
    return passage.plan.level


def send_if_awaited(
    passage: Passage,
    connection: ClientConnection,
    exchange: Exchange,
    head: bytes,
    now: float,
) -> None:
    """Send a request to a target, unless nobody waits for its answer any more.

    Args:
        passage: The request.
        connection: A connection to the target.
        exchange: Takes the answer.
        head: The head as written for the target.
        now: The present time, steady seconds.

    Raises:
        CallerLeftError: If the caller has closed its connection, also where the event
            loop was too busy to handle that yet; nothing is sent then.
        NotSentError: If the target is to get nothing now.
    """
    if passage.reply.has_caller_left:
        raise CallerLeftError("closed by the caller")
    connection.send(exchange, head, passage.request.body)
    passage.sent_at = exchange.sent_at = now


def take_turn(means: Means, target: Target) -> None:
    """Take one request out of what a target allows this gateway.

    Raises:
        NotSentError: If it is to get nothing now.
    """
    obstacle = means.fleet.limits.take_turn(target, means.clock())
    if obstacle is not None:
        raise NotSentError(obstacle)


async def free_handle(means: Means, pool: ConnectionPool, source: CacheSource) -> None:
    """Free a KV cache that an engine keeps and nobody will fetch.

    Args:
        means: What the relay has.
        pool: Made for this call; closed in the end.
        source: The KV cache.
    """
    data = means.dialect.encode_release(source)
    try:
        await call_apart(pool, means.clock, data, RELEASE_LIMITS)
    except (ConnectionBrokenError, TimeoutError) as error:
        # It lapses by itself a few seconds later.
        means.log("handle not freed", error=str(error))


def is_barred(means: Means, passage: Passage) -> bool:
    """Whether the key of a request was taken away while it waited; it is not sent."""
    return permits.is_revoked(means.fleet.table, passage.permit)


def crashes_targets(means: Means, passage: Passage) -> bool:
    """Whether it is known or suspected that a request crashes targets.

    It may become known while the request waits for the link or for a connection.
    """
    return means.guard.find_refusal(passage.named) is not None


def make_stop(exchange: Exchange) -> Callable[[], None]:
    """Make what breaks a sending off that is not to be run any more."""
    return lambda: exchange.fail(ConnectionBrokenError("its request crashes targets"))


def note_turned_away(means: Means, target: Target, head: AnswerHead) -> None:
    """Take note that a target did not run a request."""
    # An engine in another role answers like another lifetime, in its own name.
    if head.answered_by not in ("", find_id(target.announced.lifetime)):
        target.replaced = True
    else:
        health.note_full(target, means.clock(), means.policy().rests_longer)


def note_broken(
    target: Target, error: ConnectionBrokenError, now: float, since: float
) -> None:
    """Take note that a target could not be reached or did not answer.

    Args:
        target: The target.
        error: What happened.
        now: The present time, steady seconds.
        since: When the attempt began, steady seconds.
    """
    note = (
        health.note_connection_refused
        if error.was_refused
        else health.note_connection_failure
    )
    note(target, now, since)
