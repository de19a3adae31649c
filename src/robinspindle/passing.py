"""Passes a target's answer on to the caller."""

from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.answerflow import AnswerFlow
from robinspindle.core import health, heldbytes, silence
from robinspindle.core.answerstats import MIN_TIMED_EVENTS
from robinspindle.core.engines import Engine
from robinspindle.core.events import note_incomplete, take_events
from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.heldbytes import Holding
from robinspindle.core.interference import (
    find_allowed_pause,
    note_answer_begun,
    note_answer_ended,
    note_answer_event,
    note_event,
    note_long_pause,
    note_short_pause,
)
from robinspindle.core.silence import ExpectedResponse
from robinspindle.core.targets import Target
from robinspindle.hedging import claim_answer
from robinspindle.httpclient import ClientConnection, ConnectionBrokenError, Exchange
from robinspindle.passages import Means, Passage
from robinspindle.replies import Reply
from robinspindle.streambinding import note_first_event

MOST_GATHERED_BYTES = 1 << 20
"""A longer body is passed on as it comes: as many as a small gateway has under way fit
into its memory."""

SCARCE_BYTES = 65536
"""The same while much is held for slow callers."""

MOST_REFUSAL_BYTES = 1 << 20
"""Longest body of an answer that is no success: a page that tells why."""


@dataclass(frozen=True)
class Answer:
    """An answer whose head has come.

    Attributes:
        target: Where it comes from.
        head: Its head.
        exchange: Gives its body.
        connection: The connection on which it comes.
        expected: What is expected to be heard of the target, and by when.
    """

    target: Target
    head: AnswerHead
    exchange: Exchange
    connection: ClientConnection
    expected: ExpectedResponse


async def read_refusal(means: Means, answer: Answer) -> bytes:
    """Read the whole body of an answer that is no success.

    Raises:
        ConnectionBrokenError: When it breaks off, or is too long for a refusal.
    """
    chunks = await _gather(means, answer, lambda: MOST_REFUSAL_BYTES)
    if not answer.exchange.is_drained:
        raise ConnectionBrokenError("a refusal without end")
    return b"".join(chunks)


async def pass_body(means: Means, passage: Passage, answer: Answer) -> None:
    """Pass an answer on once it has come whole; a very long one as it comes.

    Until its first byte is passed on, the request may still go elsewhere. Long bodies
    would fill the memory before they are whole, and one without end never is.

    Raises:
        ConnectionBrokenError: When it breaks off.
    """
    chunks = await _gather(means, answer, lambda: _find_gathered_limit(means))
    claim_answer(passage)
    flow = _make_flow(means, passage, answer)
    try:
        passage.reply.set_flow(flow.begin, flow.go_on)
        if answer.exchange.is_drained:
            pass_whole(passage.reply, answer.head, b"".join(chunks))
        else:
            await _pass_rest(means, passage, answer, flow, chunks)
    finally:
        flow.leave_connection()


def _find_gathered_limit(means: Means) -> int:
    """Find from which length on a body is passed on as it comes, bytes."""
    is_scarce = heldbytes.is_scarce(means.held)
    return SCARCE_BYTES if is_scarce else MOST_GATHERED_BYTES


async def _gather(
    means: Means, answer: Answer, find_most_bytes: Callable[[], int]
) -> list[bytes]:
    """Read the pieces of a body to its end, or until it is longer than a limit.

    Each piece of it tells that its target is not silent. A long answer over a slow link
    would count as lost otherwise. What is gathered of long ones counts as held: all
    callers may ask for them at once.
    """
    chunks, received = [], 0
    holding = Holding("", answer.target.announced.lifetime)
    answer.expected.since = means.clock()
    try:
        while received <= find_most_bytes() and (
            chunk := await answer.exchange.read_chunk()
        ):
            _note_piece(means, answer)
            chunks.append(chunk)
            received += len(chunk)
            if received > SCARCE_BYTES:
                heldbytes.note_held(means.held, holding, received)
    finally:
        if holding.bytes:
            heldbytes.note_held(means.held, holding, 0)
    return chunks


async def _pass_rest(
    means: Means,
    passage: Passage,
    answer: Answer,
    flow: AnswerFlow,
    begun: list[bytes],
) -> None:
    """Pass on what was gathered of an answer, and the rest as it comes.

    Args:
        means: What the relay has.
        passage: The request.
        answer: Its answer.
        flow: Counts what its caller has not taken.
        begun: The pieces that were gathered; none is left there, as all who call would
            hold them for as long as the answer lasts.
    """
    reply, head = passage.reply, answer.head
    reply.begin(head.status, head.reason, head.headers, None)
    reply.write(b"".join(begun))
    begun.clear()
    while chunk := await answer.exchange.read_chunk():
        _note_piece(means, answer)
        reply.write(chunk)
        flow.note_written()
    reply.end()


def _note_piece(means: Means, answer: Answer) -> None:
    now = answer.expected.since = means.clock()
    health.note_heard(answer.target, now)


def pass_whole(reply: Reply, head: AnswerHead, body: bytes) -> None:
    """Pass an answer on that has come whole."""
    reply.begin(head.status, head.reason, head.headers, len(body))
    reply.write(body)
    reply.end()


async def pass_stream(means: Means, passage: Passage, answer: Answer) -> None:
    """Pass a stream on as fast as the caller takes it, and note its pauses.

    Raises:
        ConnectionBrokenError: When the stream breaks off.
    """
    prompt = passage.request.prompt
    engine = means.fleet.find_engine(answer.target)
    if prompt is None or engine is None or not _has_pauses(means, passage):
        await _pass_events(means, passage, answer, _pass_over)
        return
    note_answer_begun(engine, means.clock())
    try:
        await _pass_prompted(means, passage, answer, engine)
    finally:
        note_answer_ended(engine)


def _make_flow(means: Means, passage: Passage, answer: Answer) -> AnswerFlow:
    lifetime = answer.target.announced.lifetime
    return AnswerFlow(means, passage, lifetime, answer.connection, answer.expected)


def _has_pauses(means: Means, passage: Passage) -> bool:
    """Whether an answer is expected to hold enough events to pause."""
    return passage.is_long or means.lengths.is_pause_sensitive(passage.route.name)


async def _pass_prompted(
    means: Means, passage: Passage, answer: Answer, engine: Engine
) -> None:
    """Pass an answer on, and note its pauses for the engine that generates it."""
    prompt = passage.request.prompt
    if not passage.is_long:

        def note_short(pause_s: float, now: float) -> None:
            note_answer_event(engine, now)
            note_short_pause(engine, pause_s, passage.route.gap_s)
            note_event(engine, now, pause_s)

        await _pass_events(means, passage, answer, note_short)
        return

    def note_long(pause_s: float, now: float) -> None:
        allowed_s = find_allowed_pause(
            prompt,
            passage.splitter.events,
            means.fleet.find_engine_spec(passage.service).event_tokens,
            passage.due - now,
            passage.route.gap_s,
        )
        note_answer_event(engine, now)
        note_long_pause(engine, pause_s, allowed_s)
        note_event(engine, now, pause_s)

    engine.own_long_answers += 1
    first_at, first_events = means.clock(), passage.splitter.events
    try:
        await _pass_events(means, passage, answer, note_long)
    finally:
        engine.own_long_answers -= 1
        _note_pressure(means, passage, first_at, first_events)


def _note_pressure(
    means: Means, passage: Passage, first_at: float, first_events: int
) -> None:
    """Take note of how long an answer would have taken with the most events.

    Args:
        means: What the relay has.
        passage: The request, whose answer ended or broke off.
        first_at: When this part of the answer began, steady seconds.
        first_events: Events of it that had come before.
    """
    events = passage.splitter.events - first_events
    if events < MIN_TIMED_EVENTS:
        return
    now = means.clock()
    event_tokens = means.fleet.find_engine_spec(passage.service).event_tokens
    most = passage.request.prompt.max_answer_tokens / event_tokens
    longest_s = (now - first_at) / events * most
    given_s = passage.due - passage.request.received_at
    means.lengths.note_pressure(passage.service, now, longest_s / given_s)


def _pass_over(pause_s: float, now: float) -> None:
    """Stand for taking note of a pause that changes nothing."""


async def _pass_events(
    means: Means,
    passage: Passage,
    answer: Answer,
    note: Callable[[float, float], None],
) -> None:
    expected = answer.expected
    expected.silent_after_s = silence.find_next_event_timeout(passage.route.gap_s)
    expected.lost_after_s = silence.find_lost_timeout(passage.route.gap_s)
    flow = _make_flow(means, passage, answer)
    try:
        await _pass_all_events(means, passage, answer, flow, note)
    finally:
        flow.leave_connection()


async def _pass_all_events(
    means: Means,
    passage: Passage,
    answer: Answer,
    flow: AnswerFlow,
    note: Callable[[float, float], None],
) -> None:
    splitter, reply, head = passage.splitter, passage.reply, answer.head
    splitter.rest = b""
    expected = answer.expected
    first_at = last_at = expected.since = means.clock()
    while chunk := await answer.exchange.read_chunk():
        claim_answer(passage)
        reply.set_flow(flow.begin, flow.go_on)
        now = means.clock()
        health.note_heard(answer.target, now)
        waited_s = now - expected.since if splitter.rest else 0.0
        expected.since = now
        events = take_events(splitter, chunk)
        if not events:
            if note_incomplete(splitter, waited_s):
                raise ConnectionBrokenError("an event without end")
            continue
        note(now - last_at, now)
        if not reply.has_begun:
            note_first_event(
                means, passage, answer.target.announced, answer.connection.opened_at
            )
            reply.begin(head.status, head.reason, head.headers, None)
        else:
            passage.longest_pause_s = max(passage.longest_pause_s, now - last_at)
        last_at = now
        reply.write(events)
        flow.note_written()
    seconds, events = last_at - first_at, splitter.events
    means.lengths.note_answer(passage.service, events, seconds)
    if splitter.rest:
        raise ConnectionBrokenError("the stream ended within an event")
    if answer.exchange.ended_with_connection and not events:
        # A target that crashes as it begins to answer ends a stream so too.
        raise ConnectionBrokenError("the stream ended without an event")
    claim_answer(passage)
    if not reply.has_begun:
        reply.begin(head.status, head.reason, head.headers, None)
    reply.end()
