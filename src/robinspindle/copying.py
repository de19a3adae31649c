"""Has answers copied to other engines as they grow, and goes on there after a loss."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from robinspindle.core import copies, streamversions
from robinspindle.core.copies import AnswerCopy, AnswerRisk, CopyChoice, LossRate
from robinspindle.core.forwarding import CacheSource
from robinspindle.core.targets import Target
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.passages import (
    Continuation,
    Means,
    Passage,
    is_stopped,
    list_continuing,
)
from robinspindle.peers import list_heard
from robinspindle.sending import Sending


class Copies:
    """Names the engine that an answer is copied to, and finds the copy of a lost one.

    The engines copy by themselves; this keeps what this gateway has named. A copy is
    only looked for where the same attempt of a caller goes on: no other gateway knows
    of it.
    """

    def __init__(self, means: Means, rng: random.Random):
        self._means = means
        self._rng = rng
        self._rates: dict[str, LossRate] = {}
        self._tokens: dict[str, int] = {}

    @contextmanager
    def watch(self, passage: Passage, sending: Sending) -> Iterator[Sending]:
        """Give a sending a copy if it deserves one, and learn how its run ends."""
        before = passage.first_at
        copy = passage.copy = self._choose(passage, sending)
        is_lost = False
        try:
            yield replace(sending, copy_target=copy.target) if copy else sending
        except ConnectionBrokenError:
            # A target also breaks off what its time limit cuts.
            is_in_time = self._means.clock() < passage.due
            is_lost = is_in_time and not is_stopped(passage, sending.target)
            raise
        finally:
            if copy is not None:
                self._release(passage.service, copy, is_lost)
            if passage.first_at != before:
                self._note_run(passage, is_lost)

    def find_continuation(self, passage: Passage, now: float) -> Continuation | None:
        """Find the engine that can go on with a lost answer; None without a copy.

        Args:
            passage: The request, whose latest run was lost.
            now: The current time, monotonic seconds.
        """
        copy = passage.copy
        if copy is None or passage.splitter.last_id is None:
            return None
        if not self._means.policy().copies_answers:
            return None
        if copy.target not in list_continuing(self._means, passage, now):
            return None
        # A copy serves once.
        passage.copy = None
        self._log_continued(passage, copy.target, now)
        address = copy.target.announced.address
        return Continuation(copy.target, CacheSource(address, passage.request.id))

    def _choose(self, passage: Passage, sending: Sending) -> AnswerCopy | None:
        means, prompt = self._means, passage.request.prompt
        spec = means.fleet.find_engine_spec(passage.service)
        is_offered = means.policy().copies_answers and spec.keeps_copies
        may_copy = passage.is_stream and prompt is not None and not sending.is_continued
        if not (is_offered and may_copy):
            return None
        # The engine that keeps a copy is named by the request's id.
        if not streamversions.is_attempt_id(passage.request.id):
            return None
        now = means.clock()
        choice = self._decide(passage, sending.target, now)
        means.metrics.copies.labels(choice.reason).inc()
        self._log_choice(passage, choice, now)
        if choice.target is None:
            return None
        tokens = prompt.tokens + prompt.max_answer_tokens
        lifetime = choice.target.announced.lifetime
        self._tokens[lifetime] = self._tokens.get(lifetime, 0) + tokens
        return AnswerCopy(choice.target, tokens)

    def _decide(self, passage: Passage, source: Target, now: float) -> CopyChoice:
        fleet = self._means.fleet
        transfer_s = fleet.find_engine_spec(passage.service).token_transfer_s
        if transfer_s is None:
            return CopyChoice(None, "transfer unknown")
        prompt = passage.request.prompt
        probability = copies.find_loss_probability(
            self._find_rate(passage.service), now, self._estimate_run_s(passage)
        )
        may_rerun = passage.route.may_rerun
        risk = AnswerRisk(
            tokens=prompt.tokens + prompt.max_answer_tokens,
            loss_probability=probability,
            lost_s=passage.plan.first_event_s if may_rerun else passage.due - now,
            token_transfer_s=transfer_s,
        )
        version = source.announced.software_version
        pairs = [
            (target, fleet.find_engine(target))
            for target in list_continuing(self._means, passage, now)
            if target.announced.software_version == version
        ]
        gateways = 1 + len(list_heard(self._means.peers))
        return copies.choose_copy(
            source, pairs, risk, self._tokens, gateways, self._rng
        )

    def _estimate_run_s(self, passage: Passage) -> float:
        """Estimate how long an answer runs from its first event, seconds."""
        lengths, prompt = self._means.lengths, passage.request.prompt
        tokens = prompt.expected_answer_tokens or prompt.max_answer_tokens
        spec = self._means.fleet.find_engine_spec(passage.service)
        events = tokens / spec.event_tokens
        return events * lengths.find_event_s(passage.service)

    def _find_rate(self, service: str) -> LossRate:
        return self._rates.setdefault(service, LossRate())

    def _note_run(self, passage: Passage, is_lost: bool) -> None:
        now = self._means.clock()
        seconds = now - passage.first_at
        copies.note_run(self._find_rate(passage.service), now, seconds, is_lost)

    def _release(self, service: str, copy: AnswerCopy, is_lost: bool) -> None:
        """Count a copy no longer; that of a lost run stays until it lapses."""
        lifetime = copy.target.announced.lifetime

        def release() -> None:
            left = self._tokens.get(lifetime, 0) - copy.tokens
            if left > 0:
                self._tokens[lifetime] = left
            else:
                self._tokens.pop(lifetime, None)

        if not is_lost:
            release()
            return
        spec = self._means.fleet.find_engine_spec(service)
        asyncio.get_running_loop().call_later(spec.kv_retention_s, release)

    def _log_choice(self, passage: Passage, choice: CopyChoice, now: float) -> None:
        """Log whether an answer gets a copy, and what that follows from."""
        means, rate = self._means, self._find_rate(passage.service)
        means.log(
            "copy decided",
            routine=True,
            at=round(now, 4),
            request=passage.request.id,
            outcome=choice.reason,
            target=choice.target.announced.lifetime if choice.target else "",
            saved_ms=round(choice.saved_s * 1000, 2),
            cost_ms=round(choice.cost_s * 1000, 2),
            lost=round(rate.lost, 2),
            run_s=round(rate.seconds, 1),
            rate_age_ms=round((now - rate.at) * 1000) if rate.seconds else None,
            list_age_ms=round((now - means.fleet.directory.read_at) * 1000),
        )

    def _log_continued(self, passage: Passage, host: Target, now: float) -> None:
        means = self._means
        means.log(
            "answer goes on from a copy",
            at=round(now, 4),
            request=passage.request.id,
            target=host.announced.lifetime,
            lost_with=passage.plan.target.announced.lifetime,
            events=passage.splitter.events,
            may_rerun=passage.route.may_rerun,
            list_age_ms=round((now - means.fleet.directory.read_at) * 1000),
        )
