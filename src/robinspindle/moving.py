"""Moves answers away from engines that are about to leave.

A move has three steps: the source copies the KV cache while the answer goes on; it
stops the run and copies the rest; the request goes on at the destination. Until the
second step is asked for, nothing has changed for the caller. From then on the answer of
that step decides where the request goes on; if it is lost, the destination still has
the copy of the first step.
"""

import asyncio
import math
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from robinspindle.calls import CallLimits, call_apart
from robinspindle.core import decodeplacement, moves, retrywindows, streamversions
from robinspindle.core.decodeplacement import count_requests
from robinspindle.core.forwarding import CacheSource
from robinspindle.core.moves import MovableRun
from robinspindle.core.targets import Target, is_leaving
from robinspindle.ends import End
from robinspindle.exceptions import BadDocumentError
from robinspindle.httpclient import ConnectionBrokenError, Exchange
from robinspindle.passages import (
    Continuation,
    Means,
    Passage,
    Stop,
    list_continuing,
)
from robinspindle.passing import Answer
from robinspindle.sending import CONNECT_TIMEOUT_S, free_handle

COPY_LIMITS = CallLimits(CONNECT_TIMEOUT_S, 3.0, CONNECT_TIMEOUT_S)
"""How long a first copy is waited for; its run goes on meanwhile. Engines begin no
transfer that would wait for more than two seconds."""

STOP_LIMITS = CallLimits(CONNECT_TIMEOUT_S, 0.5, CONNECT_TIMEOUT_S)
"""How long the rest is waited for, while the caller gets nothing."""

MOVED = 200
NO_ROOM = 503


@dataclass
class _Run:
    """An answer under way that could be moved.

    Attributes:
        passage: Its request.
        target: Its engine.
        exchange: Brings its events.
        is_tried: Whether a move of it has begun.
        is_over: Whether it has ended here.
        is_whole: Whether its caller got all of it from here.
    """

    passage: Passage
    target: Target
    exchange: Exchange
    is_tried: bool = False
    is_over: bool = False
    is_whole: bool = False


@dataclass(frozen=True)
class _MoveAnswer:
    """What an engine answered to one step.

    Attributes:
        status: The status; 0 if no answer came.
        handle: Names the copy; empty for none.
    """

    status: int = 0
    handle: str = ""


class Moves:
    """Keeps which answers are under way where, and empties engines that leave."""

    def __init__(self, means: Means, rng: random.Random):
        self._means = means
        self._rng = rng
        self._runs: dict[str, list[_Run]] = {}
        self._leave_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._releases: set[asyncio.Task] = set()
        self._destinations: set[str] = set()

    @contextmanager
    def watch(self, passage: Passage, answer: Answer) -> Iterator[None]:
        """Keep an answer among those that can be moved, while it is under way."""
        prompt, id = passage.request.prompt, passage.request.id
        # A stopped stream without a length would look whole.
        is_movable = passage.is_stream and answer.connection.is_framed
        if prompt is None or not is_movable or not streamversions.is_attempt_id(id):
            yield
            return
        lifetime = answer.target.announced.lifetime
        run = _Run(passage, answer.target, answer.exchange)
        runs = self._runs.setdefault(lifetime, [])
        runs.append(run)
        try:
            yield
            run.is_whole = True
            self._free_unused(run)
        finally:
            run.is_over = True
            runs.remove(run)
            if not runs:
                del self._runs[lifetime]

    def look_after_leaving(self, now: float, leave_s: float) -> None:
        """Begin to empty the engines that leave.

        Args:
            now: The current time, monotonic seconds.
            leave_s: Time that a leaving engine goes on generating, seconds.
        """
        # Also where nothing is under way: an answer may have yet to begin.
        self._leave_at = {
            lifetime: self._leave_at.get(lifetime, now + leave_s)
            for lifetime, target in self._means.fleet.directory.targets.items()
            if is_leaving(target)
        }
        if not self._means.policy().moves_answers:
            return
        for lifetime in self._leave_at.keys() & self._runs.keys():
            target = self._runs[lifetime][0].target
            if lifetime not in self._tasks and self._choose_run(target) is not None:
                task = asyncio.get_running_loop().create_task(self._empty(target))
                self._tasks[lifetime] = task
                task.add_done_callback(lambda _, key=lifetime: self._tasks.pop(key))

    async def settle(self, passage: Passage) -> None:
        """Wait until it is known where a stopped run goes on."""
        if passage.stop is not None:
            await passage.stop.settled.wait()

    def find_continuation(self, passage: Passage, end: End) -> Continuation | None:
        """Find where a stopped run goes on next; None for nowhere.

        The destination comes first. Only if that says that it did not run it, the
        stopped source may, which still holds its KV cache.
        """
        stop = passage.stop
        if stop is None or passage.splitter.last_id is None or not stop.places:
            return None
        # Once it was sent there, only what says that it did not run it leaves a choice.
        expected = (End.NOT_RUN, End.NOT_SENT) if stop.is_begun else (End.UNSURE,)
        if end not in expected:
            passage.stop = None
            return None
        place = stop.places.pop(0)
        is_second, stop.is_begun = stop.is_begun, True
        is_back = place.target is stop.source
        if is_back and not moves.may_send_back(self._means.clock(), stop.leaves_at):
            return None
        return place.as_unpaid() if is_second else place

    async def _empty(self, target: Target) -> None:
        """Move one answer after the other away from an engine that leaves."""
        while (run := self._choose_run(target)) is not None:
            run.is_tried = True
            await self._move(run)

    def _choose_run(self, target: Target) -> _Run | None:
        """Choose the answer that is moved next."""
        means, lifetime = self._means, target.announced.lifetime
        service = target.announced.service
        spec = means.fleet.find_engine_spec(service)
        transfer_s = spec.token_transfer_s
        leaves_at = self._leave_at.get(lifetime)
        is_offered = spec.moves_answers and transfer_s is not None
        # It may have said in an answer that it wants nothing at all any more.
        if not is_offered or leaves_at is None or target.stated.leaving:
            return None
        runs = {
            run.passage.request.id: run
            for run in self._runs.get(lifetime, [])
            if self._may_move(run)
        }
        described = [self._describe(run) for run in runs.values()]
        leaves_in_s = leaves_at - means.clock()
        chosen = moves.list_moves(described, leaves_in_s, transfer_s)
        return runs[chosen[0].id] if chosen else None

    def _may_move(self, run: _Run) -> bool:
        passage = run.passage
        has_rival = passage.hedge is not None or passage.break_rival is not None
        return not run.is_tried and not has_rival and passage.splitter.events > 0

    def _describe(self, run: _Run) -> MovableRun:
        passage, fleet = run.passage, self._means.fleet
        prompt, events = passage.request.prompt, passage.splitter.events
        event_tokens = fleet.find_engine_spec(passage.service).event_tokens
        event_s = self._means.lengths.find_event_s(passage.service)
        return MovableRun(
            id=passage.request.id,
            tokens=prompt.tokens + events * event_tokens,
            left_s=min(
                moves.estimate_left_s(prompt, events, event_tokens, event_s),
                passage.due - self._means.clock(),
            ),
            may_rerun=passage.route.may_rerun,
        )

    async def _move(self, run: _Run) -> None:
        now = self._means.clock()
        destination = self._choose_destination(run, now)
        if destination is None:
            self._note(run, None, "no destination", now)
            return
        lifetime = destination.announced.lifetime
        self._destinations.add(lifetime)
        try:
            copied = await self._ask(run, destination, COPY_LIMITS, is_last=False)
            if copied.status != MOVED:
                self._note(run, destination, f"not copied: {copied.status}", now)
                return
            self._count_moved(run, destination)
            if not self._may_stop(run):
                self._note(run, destination, "not stopped", now)
                self._release(run.target, copied.handle)
                return
            await self._stop(run, destination, copied, now)
        finally:
            self._destinations.discard(lifetime)

    def _count_moved(self, run: _Run, destination: Target) -> None:
        """Count the first copy; what the last step adds to it is little."""
        spec = self._means.fleet.find_engine_spec(run.passage.service)
        tokens = self._describe(run).tokens
        self._means.traffic.note_memory(
            run.target, destination, tokens, spec.token_bytes
        )

    def _may_stop(self, run: _Run) -> bool:
        """Whether a run that was copied may be stopped; takes a repeat for it."""
        passage, means = run.passage, self._means
        if run.is_over or passage.hedge is not None:
            return False
        if passage.offers >= moves.MAX_OFFERS:
            return False
        return retrywindows.take_retry(means.budget, means.clock(), passage.service)

    async def _stop(
        self, run: _Run, destination: Target, copied: _MoveAnswer, began_at: float
    ) -> None:
        """Stop a run, and tell its request where it goes on."""
        leaves_at = self._leave_at.get(run.target.announced.lifetime, -math.inf)
        stop = run.passage.stop = Stop(run.target, leaves_at)
        answer = _MoveAnswer()
        try:
            answer = await self._ask(run, destination, STOP_LIMITS, is_last=True)
        finally:
            stop.places = self._list_places(run, destination, copied, answer)
            stop.settled.set()
        self._note(run, destination, f"stopped: {answer.status}", began_at)
        is_unused = run.is_whole or run.passage.reply.has_caller_left
        if not stop.places or is_unused:
            # It goes on where it was, or has ended there, or nobody waits for it.
            run.passage.stop = None
            self._release(run.target, copied.handle)
            return
        if answer.handle:
            # Not once its stream is closed: events still on their way come again.
            run.exchange.fail(ConnectionBrokenError("its run has moved"))

    def _list_places(
        self, run: _Run, destination: Target, copied: _MoveAnswer, answer: _MoveAnswer
    ) -> list[Continuation]:
        """List where a run may go on, the best place first."""
        handle = answer.handle or copied.handle
        source = CacheSource(run.target.announced.address, handle)
        there = Continuation(destination, source, is_paid=True)
        pool = self._means.fleet.make_bare_pool(run.target)
        here = Continuation(run.target, source, is_paid=True, pool=pool)
        if answer.status == NO_ROOM and answer.handle:
            return [here]
        if answer.status in (0, MOVED):
            return [there, here]
        return []

    def _choose_destination(self, run: _Run, now: float) -> Target | None:
        """Choose the engine that goes on with a run; each takes one move at a time."""
        means, passage = self._means, run.passage
        usable = list_continuing(means, passage, now, self._destinations)
        pairs = [(target, means.fleet.find_engine(target)) for target in usable]
        with_slot = [
            pair
            for pair in pairs
            if pair[1] is not None and count_requests(pair) < pair[0].announced.slots
        ]
        return decodeplacement.choose_decode_target(
            with_slot,
            run.target.announced.zone,
            now,
            means.peers.interval_s,
            self._rng,
        )

    async def _ask(
        self, run: _Run, destination: Target, limits: CallLimits, is_last: bool
    ) -> _MoveAnswer:
        """Ask for one step of a move."""
        means, target = self._means, run.target
        address = destination.announced.address
        data = means.dialect.encode_move(
            target.announced, run.passage.request.id, address, is_last
        )
        target.in_flight += 1
        try:
            pool = means.fleet.make_bare_pool(target)
            head, body = await call_apart(pool, means.clock, data, limits)
            return _MoveAnswer(head.status, means.dialect.decode_move_answer(body))
        except (ConnectionBrokenError, TimeoutError, BadDocumentError) as error:
            means.log(
                "move not answered", request=run.passage.request.id, error=str(error)
            )
            return _MoveAnswer()
        finally:
            target.in_flight -= 1

    def _free_unused(self, run: _Run) -> None:
        """Free the copy of an answer that came whole though a stop was asked for."""
        stop = run.passage.stop
        if stop is None or stop.source is not run.target:
            return
        if stop.settled.is_set() and stop.places:
            run.passage.stop = None
            self._release(run.target, stop.places[0].source.handle)

    def _release(self, target: Target, handle: str) -> None:
        """Free a copy that is not used."""
        source = CacheSource(target.announced.address, handle)
        task = asyncio.get_running_loop().create_task(self._free(target, source))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _free(self, target: Target, source: CacheSource) -> None:
        pool = self._means.fleet.make_bare_pool(target)
        await free_handle(self._means, pool, source)

    def _note(
        self, run: _Run, destination: Target | None, outcome: str, began_at: float
    ) -> None:
        """Count and log how a move went, and what it followed from."""
        means, now = self._means, self._means.clock()
        means.metrics.moves.labels(outcome).inc()
        described = self._describe(run)
        leaves_at = self._leave_at.get(run.target.announced.lifetime)
        means.log(
            "answer moves",
            at=round(now, 4),
            request=described.id,
            source=run.target.announced.lifetime,
            destination=destination.announced.lifetime if destination else "",
            outcome=outcome,
            took_ms=round((now - began_at) * 1000, 1),
            tokens=described.tokens,
            left_ms=round(described.left_s * 1000),
            leaves_in_ms=round((leaves_at - now) * 1000) if leaves_at else None,
            list_age_ms=round((now - means.fleet.directory.read_at) * 1000),
        )
