"""The prompts that this gateway has engines read, and what it believes of them."""

from robinspindle.core.engines import Engine, note_placed
from robinspindle.core.peerdigests import Placement
from robinspindle.core.prefillbacklog import note_prefill_start
from robinspindle.core.prefillmodel import PrefillSample
from robinspindle.core.prefillspeed import (
    estimate_prefill_s,
    is_useful_sample,
    note_prefill_done,
    note_queued_prefill,
    note_shared_sample,
)
from robinspindle.core.priorities import LATE_LEVEL
from robinspindle.core.requestplans import RequestPlan
from robinspindle.core.targets import Target
from robinspindle.passages import Means, Passage
from robinspindle.peers import Peers

ALONE_S = 0.001
"""With less work than this before it an engine begins a reading at once, seconds: less
than any reading takes."""


class Reading:
    """Work that an engine is believed to have before it, until it is done."""

    def __init__(
        self,
        engine: Engine,
        plan: RequestPlan,
        tokens: int,
        now: float,
        learns: bool,
        shares_speeds: bool,
        peers: Peers,
    ):
        self._engine = engine
        self._seconds = plan.prefill_s
        self._note_change = peers.changed.set
        self._new = plan.uncached_tokens
        self._context = tokens - plan.uncached_tokens
        self._fetch_s = plan.fetch_s
        self._wait_s = plan.wait_s
        self._began_at = now
        self._is_open = True
        # Waits are told apart from work by measuring only what met nobody else.
        self._learns = learns
        self._shares_speeds = shares_speeds
        self._usual_wait_s = plan.wait_s / engine.slowness
        self._was_alone = engine.backlog_s <= ALONE_S
        self._level = plan.level
        engine.own_backlog_s[self._level] += self._seconds
        note_prefill_start(engine, now, self._seconds, self._level)
        self._placed = engine.placed

    def end(self, now: float) -> None:
        """Note that the prompt has been read."""
        if not self._is_open:
            return
        self.cancel()
        if self._learns:
            self._learn(now, now - self._began_at - self._fetch_s)

    def _learn(self, now: float, seconds: float) -> None:
        """Learn from how long the reading took, without what was fetched."""
        engine = self._engine
        was_alone = self._was_alone and engine.placed == self._placed
        measured = PrefillSample(self._new, self._context, seconds)
        is_planned = self._level < LATE_LEVEL
        if self._shares_speeds:
            wait_s = self._usual_wait_s if is_planned else None
            note_shared_sample(engine, measured, now, was_alone, wait_s)
            return
        note_prefill_done(engine, measured, was_alone)
        if not was_alone and is_planned:
            prefill_s = estimate_prefill_s(engine, self._new, self._context)
            note_queued_prefill(engine, seconds, self._wait_s + prefill_s)

    def cancel(self) -> None:
        """Note that the prompt need not be read any more."""
        if self._is_open:
            self._is_open = False
            levels = self._engine.own_backlog_s
            levels[self._level] = max(0.0, levels[self._level] - self._seconds)
            self._note_change()


class Readings:
    """Begins readings and keeps what the peers are to be told of them.

    Attributes:
        placements: Prompts placed since they were last told to the peers.
    """

    def __init__(self, means: Means):
        self.placements: list[Placement] = []
        self._means = means
        self._started_at = means.clock()

    def begin(
        self, passage: Passage, target: Target, engine: Engine, plan: RequestPlan
    ) -> Reading:
        """Take note that a target's engine is sent a prompt to read.

        Args:
            passage: The request with the prompt.
            target: Where it is sent.
            engine: The target's engine.
            plan: How long that should take, and what is not cached there.
        """
        counts = self._means.metrics.prompt_tokens
        prompt = passage.request.prompt
        now = self._means.clock()
        policy = self._means.policy()
        learns = policy.learns_paces and is_useful_sample(
            engine, now - self._started_at
        )
        peers = self._means.peers
        begun = Reading(
            engine, plan, prompt.tokens, now, learns, policy.shares_speeds, peers
        )
        note_placed(engine, prompt.parts, now + plan.wait_s + plan.prefill_s)
        counts.labels("read").inc(plan.uncached_tokens)
        counts.labels("cached").inc(prompt.tokens - plan.uncached_tokens)
        told = [(part.id, part.tokens) for part in prompt.parts]
        prefill_ms = round(plan.prefill_s * 1000)
        placement = Placement(target.announced.lifetime, told, prefill_ms, plan.level)
        self.placements.append(placement)
        self._count_fetched(passage, target, plan)
        peers.changed.set()
        return begun

    def _count_fetched(
        self, passage: Passage, target: Target, plan: RequestPlan
    ) -> None:
        """Count what a target fetches from a cache in another availability zone."""
        if plan.cache_source is None:
            return
        token_bytes = self._means.fleet.find_engine_spec(passage.service).token_bytes
        self._means.traffic.note_memory(
            plan.cache_source, target, plan.fetched_tokens, token_bytes
        )
