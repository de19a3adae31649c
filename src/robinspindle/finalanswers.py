"""The answers to requests that no target has answered."""

import random

from robinspindle.core import forwarding, permits, streamversions
from robinspindle.core.forwarding import Refusal, Request
from robinspindle.passages import Means, Passage
from robinspindle.passing import pass_whole
from robinspindle.relaylogs import RelayLog
from robinspindle.replies import Reply
from robinspindle.sending import is_barred

RETRY_BASE_S = 0.2
RETRY_SPREAD_S = 0.4
"""A refused caller is told to come back after the first and up to the second more,
seconds: queues of prompts last some tenths of a second, and callers that come back
together would meet again."""

REST_SPREAD = 0.25
"""Share of the time for which targets are away by which returns are spread beyond its
end: the longer it lasts, the more callers have been refused in it."""

CLAIMS = frozenset((408, 421, 429, 503))
"""Statuses by which a caller may take it that its request did not run."""


class FinalAnswers:
    """Ends requests that are given up, and says when to come again."""

    def __init__(self, means: Means, log: RelayLog, rng: random.Random):
        self._means = means
        self._log = log
        self._rng = rng

    def give_up(self, passage: Passage, reason: str) -> None:
        """End a request that no further target gets.

        Args:
            passage: The request.
            reason: Why, in one word, for logs and metrics.
        """
        reply = passage.reply
        left_s = passage.given_up_at - self._means.clock()
        if reply.has_begun:
            reply.break_off()
            self._log.log_end(passage, None, f"broken off: {reason}")
            return
        if passage.fault is not None and self._may_pass_fault(passage):
            head, body = passage.fault
            pass_whole(reply, head, body)
            self._log.log_end(passage, None, f"passed on: {reason}")
            return
        if passage.runs:
            refusal = forwarding.refuse_unknown_outcome(left_s)
        elif is_barred(self._means, passage):
            refusal = permits.refuse_revoked(self._means.fleet.table, passage.permit)
            reason = refusal.reason
        else:
            refusal = self._refuse_not_run(passage, reason)
        reply.refuse(refusal)
        self._log.log_end(passage, None, f"refused {refusal.status}: {reason}")

    def _refuse_not_run(self, passage: Passage, reason: str) -> Refusal:
        """Refuse a request that did not run, and say when to come again."""
        if reason == forwarding.TOO_LARGE.reason:
            return forwarding.TOO_LARGE
        now = self._means.clock()
        fleet = self._means.fleet
        rest_s = 0.0
        if not streamversions.find_obstacle(fleet.directory, passage.stream):
            version = streamversions.find_version(passage.stream)
            rest_s = fleet.find_return_s(passage.service, now, version)
        retry_s = self._find_retry_s(passage, rest_s, now)
        # While all are away, no caller of a stream is served by coming sooner.
        end = passage.due if rest_s else passage.given_up_at
        refusal = forwarding.refuse_not_run(reason, retry_s, end - now)
        if passage.stream.is_taken_up:
            self._log.log_not_taken_up(passage, refusal, rest_s)
        return refusal

    def _find_retry_s(self, passage: Passage, rest_s: float, now: float) -> float:
        """Find when there should be room for a caller that is refused, seconds.

        Args:
            passage: Its request.
            rest_s: How long all targets that could run it are away, seconds.
            now: The present time, steady seconds.
        """
        spread_s = RETRY_SPREAD_S + REST_SPREAD * rest_s
        retry_s = rest_s + RETRY_BASE_S + spread_s * self._rng.random()
        if passage.plan is None:
            return retry_s
        late_s = max(0.0, passage.plan.first_event_s - (passage.first_due - now))
        return retry_s + max(0.0, late_s - rest_s, passage.plan.slot_wait_s - rest_s)

    def _may_pass_fault(self, passage: Passage) -> bool:
        # A 503 whose target does not say that it did not run would be a promise.
        head, _ = passage.fault
        return head.status not in CLAIMS or passage.route.may_rerun

    def refuse(self, request: Request, reply: Reply, refusal: Refusal) -> None:
        """Refuse a request for which no route or permit was found."""
        reply.refuse(refusal)
        self._log.log_refused(request, refusal.reason)
