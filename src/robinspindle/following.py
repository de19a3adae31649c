"""Follows a keyed topic of the platform's store and applies what it says.

The newest record of each key comes first, then a long poll for what changes. When the
records asked for are gone, the newest are read again and what has vanished meanwhile
is told as dropped.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from robinspindle.clocks import read_steady
from robinspindle.core.decoding import shorten
from robinspindle.core.entries import UnusableEntries
from robinspindle.core.storepolls import MAX_HOLD_S
from robinspindle.exceptions import (
    EraChangedError,
    LogServiceError,
    LogUnavailableError,
    RecordsTrimmedError,
    UnusableTopicError,
)
from robinspindle.logs import Log, describe_failure
from robinspindle.storerecords import KeyedRecord, Records

WAIT_S = MAX_HOLD_S
"""How long the store holds a poll where nothing else is told, seconds."""

NUDGED_POLL_WAIT_S = 0.3
"""How long a held poll may take to bring what a peer has read already, seconds: longer
than a large record takes over a fast link."""

FIRST_PAUSE_S = 0.1
"""First pause after a failed call, seconds."""

MAX_PAUSE_S = 0.8
"""Longest pause after failed calls, seconds: a store that is back is read within a
second of it, and a refused call is paid for too."""

UNAVAILABLE_PAUSE_S = 1.5
"""The same where the own relay says that the store is away, and will say when it is
back, seconds. A relay that dies just then costs one such pause."""

PROBE_REST_S = 1.5
"""How long a topic's reads rest while those of another one find out whether the store
is back, seconds: all are read as soon as it is, and each call in vain is paid for."""

MAX_RECORDS_LEFT = 1
"""Records that may be left after a read before the newest of each key are read instead
of all that came meanwhile: large versions of a configuration take long over a slow
link. The newest records are longer by a third, as their bytes come as text."""

FIRST_REREAD_S = 0.1
MAX_REREAD_S = 120.0
"""First and longest time until all is read again after records that could not be
applied, seconds: what failed once may not fail again, and each whole read is dear."""

MIN_PAUSE_SHARE = 0.7
"""Least part of a pause that is kept: gateways that fail together call apart."""


class KeyedStore(Protocol):
    """What is needed of a store.

    Attributes:
        calls: Calls made so far.
        received_bytes: Bytes of the answers that came whole.
        wasted_bytes: Bytes of answers that were given up or broke off.
        era: The newest era that an answer told; None before the first.
        unreadable_eras: Answers whose era could not be read.
        note_era: Told each new era after the first.
        note_silent: Told the topic of a poll whose connection went silent.
    """

    era: int | None
    unreadable_eras: int
    note_era: Callable[[int], None]
    note_silent: Callable[[str], None]
    calls: int
    received_bytes: int
    wasted_bytes: int

    async def read_newest(self, topic: str) -> Records[KeyedRecord]:
        """Read the newest record of each key."""

    async def read_from(
        self, topic: str, offset: int, wait_s: float
    ) -> Records[KeyedRecord]:
        """Read what comes from an offset on."""

    def drop_connections(self) -> None:
        """Drop kept connections: a call goes out on a new one."""

    async def append_keyed(
        self, topic: str, key: str, value: bytes, expected_end: int | None = None
    ) -> int:
        """Append one keyed record and return its offset."""


@dataclass
class Outage:
    """What the followers of one store know of its being lost; shared by them.

    Attributes:
        prober: The topic whose reads find out whether it is back; empty for none.
        back: Set when it may be back.
        find_max_pause_s: Tells the longest pause between reads meanwhile, seconds.
    """

    prober: str = ""
    back: asyncio.Event = field(default_factory=asyncio.Event)
    find_max_pause_s: Callable[[], float] = lambda: MAX_PAUSE_S


def note_may_be_back(outage: Outage) -> None:
    """Take note that the store is back for a peer: all reads are tried at once."""
    outage.back.set()
    outage.back = asyncio.Event()


@dataclass
class Follower:
    """One topic that is followed.

    Attributes:
        topic: Its name.
        apply: Takes a key and its value; None drops it.
        note_away: Called when the store stops answering.
        note_back: Called when it answers.
        rest_s: Tells the least time between two reads, seconds: records that come alone
            are then read together, as each call has its price.
        wait_s: Tells how long the store holds a poll, seconds.
        note_end: Told where the topic ends, after each read was applied.
        note_newest: Told when the call was sent whose answer held all that the topic
            has, steady seconds, once that has been applied.
        offset: How far it has been read; None before the first read.
        is_lost: Whether the last call failed.
        nudge: Set when a held poll may be waiting in vain, or when one that comes next
            may; the read after that is not held.
        nudged_end: The last end told by a peer for which it was set.
        refuted_end: An end told by a peer that the topic had not reached.
        is_void: Whether its offset is of an era that is gone.
        failed: The records that could not be applied.
        count_failed: Called for each time that one could not be.
        reread_at: When all is read again because of them, steady seconds.
        reread_s: In how long it would be after the next one, seconds.
        keys: The keys that are known; those that vanish are told as dropped.
    """

    topic: str
    apply: Callable[[str, bytes | None], None]
    note_away: Callable[[], None]
    note_back: Callable[[], None]
    rest_s: Callable[[], float] = lambda: 0.0
    wait_s: Callable[[], float] = lambda: WAIT_S
    note_end: Callable[[int], None] = lambda end: None
    note_newest: Callable[[float], None] = lambda sent_at: None
    offset: int | None = None
    is_lost: bool = False
    nudge: asyncio.Event = field(default_factory=asyncio.Event)
    nudged_end: int = -1
    refuted_end: int = -1
    is_void: bool = False
    failed: UnusableEntries = field(default_factory=UnusableEntries)
    count_failed: Callable[[], None] = lambda: None
    reread_at: float = math.inf
    reread_s: float = FIRST_REREAD_S
    keys: set[str] = field(default_factory=set)


def note_follower_failed(follower: Follower) -> None:
    """Take note that an unforeseen error ended the reading of a topic.

    Its records may have been applied in part, so all is read again.
    """
    follower.is_void = True
    follower.is_lost = True
    follower.note_away()


def note_new_era(follower: Follower) -> None:
    """Take note that offsets were given out anew: all is read from what there is."""
    follower.is_void = True
    follower.nudged_end = follower.refuted_end = -1
    follower.nudge.set()


def note_told_end(follower: Follower, end: int) -> None:
    """Take note of how far a peer has read a topic.

    Who is behind reads at once what its held poll did not bring: its connection may
    have gone silent. A peer that lies about an end costs one call.
    """
    offset = follower.offset
    if end == follower.refuted_end:
        return
    if offset is not None and end > max(offset, follower.nudged_end):
        follower.nudged_end = end
        follower.nudge.set()


def note_doubted(follower: Follower) -> None:
    """Take note that connections to the store went silent: a poll's may be too."""
    follower.nudge.set()


def note_told_away(follower: Follower) -> None:
    """Take note that the store is away for a peer: a held poll may wait in vain."""
    if not follower.is_lost:
        follower.nudge.set()


async def follow(
    store: KeyedStore,
    follower: Follower,
    log: Log,
    outage: Outage | None = None,
    clock: Callable[[], float] = read_steady,
) -> None:
    """Follow one topic for as long as the process runs.

    Args:
        store: The store.
        follower: The topic, and who is told of it.
        log: Takes log lines.
        outage: Shared by all who follow the same store; None for one that is alone.
        clock: Tells the present time, steady seconds.

    Raises:
        UnusableTopicError: If none of a topic's newest records can be applied.
    """
    outage = outage or Outage()
    pause_s = FIRST_PAUSE_S
    is_given_up = False
    # Whether the newest records were read last: what follows them is still there.
    is_newest = False
    while True:
        if follower.is_void or clock() >= follower.reread_at:
            follower.offset, follower.is_void = None, False
            follower.reread_at = math.inf
        offset, told_end = follower.offset, follower.nudged_end
        is_nudged = is_given_up or follower.nudge.is_set()
        follower.nudge.clear()
        if is_nudged:
            store.drop_connections()
        sent_at = clock()
        try:
            if offset is None:
                records = await store.read_newest(follower.topic)
            else:
                # A call that is lost is waited for in full. While the store is lost
                # none is held, so that it is read soon after its return: three seconds
                # later nobody excuses us.
                is_held = not (follower.is_lost or is_nudged)
                wait_s = _find_hold_s(follower, clock()) if is_held else 0.0
                records = await _read_on(store, follower, offset, wait_s)
        except RecordsTrimmedError as error:
            log("records are gone", topic=follower.topic, offset=offset, at=error.first)
            follower.offset = None
            if is_newest:
                await asyncio.sleep(MAX_PAUSE_S)
            continue
        except EraChangedError as error:
            log("store returned from a copy", topic=follower.topic, error=str(error))
            continue
        except LogServiceError as error:
            follower.is_lost = True
            _note_failure(follower, log, error)
            await _rest_while_lost(outage, follower, pause_s)
            pause_s = min(outage.find_max_pause_s(), pause_s * 2)
            continue
        if follower.is_void:
            continue
        is_given_up = records is None
        if records is None:
            log("held poll given up", topic=follower.topic, offset=offset)
            continue
        pause_s = FIRST_PAUSE_S
        follower.is_lost = False
        if outage.prober == follower.topic:
            outage.prober = ""
            note_may_be_back(outage)
        follower.note_back()
        is_newest = offset is None
        failed_before = follower.failed.total
        if is_newest:
            _drop_vanished(follower, records, log)
        follower.offset = records.end
        applied = _apply(follower, records, log)
        if is_newest and records.items and not applied:
            raise UnusableTopicError(f"no record of {follower.topic} can be applied")
        _plan_reread(follower, failed_before, is_newest, clock())
        follower.note_end(records.end)
        _settle_nudge(follower, told_end if is_nudged else -1, records.topic_end)
        left = records.topic_end - records.end
        if left <= 0:
            follower.note_newest(sent_at)
        if left > MAX_RECORDS_LEFT:
            log("records are passed over", topic=follower.topic, count=left)
            follower.offset = None
            continue
        await asyncio.sleep(follower.rest_s())


async def _rest_while_lost(outage: Outage, follower: Follower, pause_s: float) -> None:
    """Rest after a failed read: one topic is read on, the others wait for it."""
    outage.prober = outage.prober or follower.topic
    is_prober = outage.prober == follower.topic
    rest_s = (
        pause_s * random.uniform(MIN_PAUSE_SHARE, 1.0) if is_prober else PROBE_REST_S
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(rest_s):
            await outage.back.wait()


async def _read_on(
    store: KeyedStore, follower: Follower, offset: int, wait_s: float
) -> Records[KeyedRecord] | None:
    """Read on from an offset; None for a held poll that seems to wait in vain."""
    if wait_s == 0.0:
        return await store.read_from(follower.topic, offset, wait_s)
    call = asyncio.ensure_future(store.read_from(follower.topic, offset, wait_s))
    nudge = asyncio.ensure_future(follower.nudge.wait())
    try:
        await asyncio.wait({call, nudge}, return_when=asyncio.FIRST_COMPLETED)
        if not call.done():
            await asyncio.wait({call}, timeout=NUDGED_POLL_WAIT_S)
        return call.result() if call.done() else None
    finally:
        call.cancel()
        nudge.cancel()


def _find_hold_s(follower: Follower, now: float) -> float:
    """Find how long a poll is held: not beyond the time when all is read again."""
    return max(0.0, min(follower.wait_s(), follower.reread_at - now))


def _plan_reread(
    follower: Follower, failed_before: int, is_newest: bool, now: float
) -> None:
    """Have all read again some time after a record that could not be applied.

    Args:
        follower: The topic.
        failed_before: How often that was so before the last read.
        is_newest: Whether that read was of the newest records.
        now: The present time, steady seconds.
    """
    if follower.failed.total > failed_before:
        follower.reread_at = min(follower.reread_at, now + follower.reread_s)
        follower.reread_s = min(MAX_REREAD_S, follower.reread_s * 2)
    elif is_newest:
        follower.reread_at, follower.reread_s = math.inf, FIRST_REREAD_S


def _settle_nudge(follower: Follower, checked_end: int, topic_end: int) -> None:
    """Take note of a read that was answered: what was told before it is settled.

    Args:
        follower: The topic.
        checked_end: The end that a peer had told before a read that was made for it;
            whether the peer lied or not, the topic ended where that read did.
        topic_end: Where the topic ended then.
    """
    if follower.nudged_end in (checked_end, -1) or (
        follower.offset >= follower.nudged_end
    ):
        follower.nudge.clear()
    if topic_end < checked_end == follower.nudged_end:
        # Lower ends that are told later may be true.
        follower.nudged_end, follower.refuted_end = -1, checked_end


def _note_failure(follower: Follower, log: Log, error: LogServiceError) -> None:
    if not isinstance(error, LogUnavailableError):
        log("unexpected error of the store", topic=follower.topic, error=str(error))
    else:
        log(
            "store call failed",
            topic=follower.topic,
            error=str(error),
            received_bytes=error.received,
            silent_ms=round(error.silent_s * 1000),
        )
    follower.note_away()


def _drop_vanished(follower: Follower, records: Records, log: Log) -> None:
    for key in follower.keys - {item.key for item in records.items}:
        if _apply_record(follower, key, None, log):
            follower.keys.discard(key)


def _apply(follower: Follower, records: Records, log: Log) -> int:
    """Apply records; returns how many could be."""
    applied = 0
    for item in records.items:
        is_applied = _apply_record(follower, item.key, item.value, log)
        applied += is_applied
        if item.value is not None:
            follower.keys.add(item.key)
        elif is_applied:
            follower.keys.discard(item.key)
    return applied


def _apply_record(follower: Follower, key: str, value: bytes | None, log: Log) -> bool:
    """Apply a record; one that can't be applied must not hide those after it.

    Returns:
        Whether it was applied.
    """
    try:
        follower.apply(key, value)
    except Exception as error:
        follower.count_failed()
        text = describe_failure(error)
        if follower.failed.note(key, text):
            log(
                "record can't be applied and is passed over",
                topic=follower.topic,
                record=shorten(key),
                bytes=None if value is None else len(value),
                error=text,
            )
        return False
    follower.failed.forget(key)
    return True
