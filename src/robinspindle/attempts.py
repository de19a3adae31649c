"""The attempts of one request at targets: one after another until one delivers."""

from robinspindle import guard
from robinspindle.choosing import Chooser
from robinspindle.core import forwarding, retrywindows
from robinspindle.delivery import Delivery
from robinspindle.ends import End
from robinspindle.finalanswers import FinalAnswers
from robinspindle.passages import Means, Passage
from robinspindle.relaylogs import RelayLog
from robinspindle.sending import is_barred

LEAST_FAULT = 500
"""Lower statuses speak of the request, and no other target would say otherwise."""


class Attempts:
    """Sends requests to targets until one delivers or none is left to try."""

    def __init__(
        self,
        means: Means,
        chooser: Chooser,
        delivery: Delivery,
        final: FinalAnswers,
        log: RelayLog,
    ):
        self._means = means
        self._chooser = chooser
        self._delivery = delivery
        self._final = final
        self._log = log

    async def serve(self, passage: Passage) -> bool:
        """Serve a request; returns whether its caller got the whole answer."""
        while True:
            now = self._means.clock()
            if passage.given_up_at - now <= forwarding.MIN_ATTEMPT_S:
                self._final.give_up(passage, passage.last_reason or "too-late")
                return False
            plan = self._chooser.choose(passage, now)
            if plan is None:
                self._final.give_up(passage, passage.last_reason or "no-target")
                return False
            passage.plan = plan
            self._log.log_plan(passage, plan)
            if self._chooser.should_refuse(passage, plan, now):
                self._final.give_up(passage, "busy")
                return False
            left_s = passage.given_up_at - now
            if self._means.link.estimate_arrival(passage.request.size) > left_s:
                self._final.give_up(passage, "link-full")
                return False
            end = await self._delivery.carry_out(passage, plan)
            lifetime = plan.target.announced.lifetime
            self._means.metrics.count_try(passage.service, lifetime, end.value)
            if end is End.DELIVERED:
                return True
            if not self._may_go_on(passage, end):
                self._final.give_up(passage, passage.last_reason)
                return False

    def _may_go_on(self, passage: Passage, end: End) -> bool:
        left_s = passage.given_up_at - self._means.clock()
        route = passage.route
        if self._means.guard.find_refusal(passage.named) is not None:
            passage.last_reason = guard.REASON
            return False
        if is_barred(self._means, passage):
            return False
        if left_s <= forwarding.MIN_ATTEMPT_S:
            return False
        if end is End.FAULT and passage.fault[0].status < LEAST_FAULT:
            return False
        if end is End.NOT_RUN and passage.offers == 0:
            return len(passage.tried) < forwarding.MAX_SENDS
        if not forwarding.may_send_again(route, passage.offers, passage.runs):
            return False
        if retrywindows.take_retry(
            self._means.budget, self._means.clock(), passage.service
        ):
            self._means.metrics.repeats.inc()
            return True
        self._means.metrics.denied_repeats.inc()
        passage.last_reason += ", no repeat left"
        return False
