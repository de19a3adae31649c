"""The attempts of one request at targets, until one delivers or none is left to try."""

import asyncio
import random

from robinspindle import guard
from robinspindle.choosing import Chooser
from robinspindle.copying import Copies
from robinspindle.core import forwarding, retrywindows
from robinspindle.core.answertimes import can_end_by
from robinspindle.core.prefillplacement import RequestPlan
from robinspindle.core.requestplans import plan_continuation
from robinspindle.core.routes import STREAM
from robinspindle.delivery import Delivery
from robinspindle.ends import End
from robinspindle.exceptions import CallerLeftError
from robinspindle.finalanswers import FinalAnswers
from robinspindle.hedging import (
    begin_hedge,
    drop_hedge,
    fork_passage,
    join_hedge,
)
from robinspindle.httpclient import Exchange
from robinspindle.moving import Moves
from robinspindle.passages import (
    Continuation,
    GivenUp,
    Hedge,
    Means,
    Passage,
    is_stopped,
)
from robinspindle.relaylogs import RelayLog
from robinspindle.sending import crashes_targets, is_barred

LEAST_FAULT = 500
"""Lower statuses speak of the request, and no other target would say otherwise."""

LOOK_AGAIN_S = 0.1
"""How often another target is looked for beside a silent one, seconds."""


class Attempts:
    """Sends requests to targets until one delivers or none is left to try.

    Attributes:
        delivery: Sends to one target.
        moves: Moves answers away from engines that leave.
    """

    def __init__(
        self,
        means: Means,
        chooser: Chooser,
        final: FinalAnswers,
        log: RelayLog,
        rng: random.Random,
    ):
        self._copies = Copies(means, rng)
        self.moves = Moves(means, rng)
        self.delivery = Delivery(
            means, chooser, self._copies, self.moves, log, self.hedge
        )
        self._means = means
        self._chooser = chooser
        self._final = final
        self._log = log

    async def serve(self, passage: Passage) -> bool:
        """Serve a request; returns whether its caller got the whole answer."""
        try:
            given_up = await self._try_targets(passage)
        finally:
            drop_hedge(passage)
        if given_up is not None:
            self._final.give_up(passage, given_up.reason)
        return given_up is None

    async def _try_targets(self, passage: Passage) -> GivenUp | None:
        """Try targets; returns None once one has delivered."""
        while True:
            plan = self._make_plan(passage, self._means.clock())
            if isinstance(plan, GivenUp):
                return plan
            end = await self.delivery.carry_out(passage, plan)
            lifetime = plan.target.announced.lifetime
            self._means.metrics.count_try(passage.service, lifetime, end.value)
            if end is End.DELIVERED or await self._has_hedge_delivered(passage):
                return None
            await self.moves.settle(passage)
            if not self._may_go_on(passage, end):
                return GivenUp(passage.last_reason)

    def _make_plan(self, passage: Passage, now: float) -> RequestPlan | GivenUp:
        """Plan the next attempt, unless the request had better be given up."""
        left_s = passage.given_up_at - now
        if left_s <= forwarding.MIN_ATTEMPT_S:
            return GivenUp(passage.last_reason or "too-late")
        if self._will_be_cut(passage, now):
            return GivenUp(forwarding.STOPPING.reason)
        if passage.continuation is not None:
            plan = plan_continuation(passage.plan, passage.continuation.target)
        else:
            plan = self._chooser.choose(passage, now)
        if plan is None:
            return GivenUp(passage.last_reason or "no-target")
        passage.plan = plan
        self._log.log_plan(passage, plan)
        reason = self._chooser.find_refusal(passage, plan, now)
        return GivenUp(reason) if reason else plan

    def _will_be_cut(self, passage: Passage, now: float) -> bool:
        """Whether the process is expected to end before an answer would."""
        means = self._means
        return not can_end_by(
            means.answer_times, passage.route.name, now, means.ending.at
        )

    def hedge(self, passage: Passage, exchange: Exchange) -> None:
        """Try another target beside one that fell silent.

        Args:
            passage: The request.
            exchange: Waits for its answer at the silent target.
        """
        has_rival = passage.hedge is not None
        if has_rival or is_stopped(passage, passage.plan.target):
            return
        if self._may_crash_target(passage):
            return
        second = fork_passage(passage, exchange)
        self._means.metrics.hedges.inc()
        self._log.log_hedge(passage)
        task = asyncio.get_running_loop().create_task(
            self._try_beside(second, exchange)
        )
        begin_hedge(passage, Hedge(second, task))

    def _may_crash_target(self, passage: Passage) -> bool:
        """Whether the silent target may have crashed because of a request."""
        is_suspected = self._means.guard.is_suspected(passage.named)
        return passage.named.is_trial or is_suspected

    async def _try_beside(self, passage: Passage, exchange: Exchange) -> GivenUp | None:
        """Try targets beside an attempt that is still under way."""
        if not await self._await_target(passage, exchange):
            return GivenUp("no-target")
        if not self._may_go_on(passage, End.UNSURE):
            return GivenUp(passage.last_reason)
        try:
            return await self._try_targets(passage)
        except CallerLeftError:
            return GivenUp("caller-left")
        finally:
            drop_hedge(passage)

    async def _await_target(self, passage: Passage, exchange: Exchange) -> bool:
        """Wait for another target while an attempt is under way; tell if one is there.

        Args:
            passage: The second attempt.
            exchange: Waits for the first attempt's answer.
        """
        while not self._chooser.has_target(passage, self._means.clock()):
            is_late = passage.given_up_at <= self._means.clock()
            if is_late or exchange.is_whole or exchange.error is not None:
                return False
            await asyncio.sleep(LOOK_AGAIN_S)
        return True

    async def _has_hedge_delivered(self, passage: Passage) -> bool:
        """Wait for the end of a second attempt, if there is one."""
        if passage.hedge is None:
            return False
        given_up = await passage.hedge.task
        join_hedge(passage)
        return given_up is None

    def _may_go_on(self, passage: Passage, end: End) -> bool:
        left_s = passage.given_up_at - self._means.clock()
        route = passage.route
        if crashes_targets(self._means, passage):
            passage.last_reason = guard.REASON
            return False
        if is_barred(self._means, passage) or _is_half_passed(passage):
            return False
        if left_s <= forwarding.MIN_ATTEMPT_S:
            return False
        if end is End.FAULT and passage.fault[0].status < LEAST_FAULT:
            return False
        continuation = self._find_continuation(passage, end)
        if end is End.NOT_SENT and continuation is None:
            # The target has been left out of choices since, so another is found. But
            # nothing else may go on with what has run and may not run again.
            return passage.runs == 0 or route.may_rerun
        if end is End.NOT_RUN and passage.offers == 0:
            return len(passage.tried) < forwarding.MAX_SENDS
        # What goes on from a copy counts as the same run.
        runs = passage.runs if continuation is None else 0
        if not forwarding.may_send_again(route, passage.offers, runs):
            return False
        passage.continuation = continuation
        if continuation is not None and continuation.is_paid:
            return True
        if retrywindows.take_retry(
            self._means.budget, self._means.clock(), passage.service
        ):
            self._means.metrics.repeats.inc()
            return True
        self._means.metrics.denied_repeats.inc()
        passage.last_reason += ", no repeat left"
        return False

    def _find_continuation(self, passage: Passage, end: End) -> Continuation | None:
        """Find where a lost or stopped run goes on without a new prefill."""
        found = self.moves.find_continuation(passage, end)
        if found is None and end is End.UNSURE:
            found = self._copies.find_continuation(passage, self._means.clock())
        return found


def _is_half_passed(passage: Passage) -> bool:
    """Whether part of an answer that no other can go on with has been passed on."""
    return passage.reply.has_begun and passage.route.kind != STREAM
