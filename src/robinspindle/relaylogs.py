"""The log lines and the counts that tell how requests went."""

import math

from robinspindle.core import returns
from robinspindle.core.forwarding import Prompt, Refusal, Request
from robinspindle.core.interference import find_prefill_share
from robinspindle.core.obstacles import count_send_obstacles
from robinspindle.core.requestplans import RequestPlan
from robinspindle.core.room import (
    count_tokens,
    describe_room,
    estimate_memory_wait_s,
)
from robinspindle.core.roomclaims import Use
from robinspindle.core.sizeclasses import find_size_class
from robinspindle.core.targets import Target
from robinspindle.passages import Means, Passage
from robinspindle.peers import find_oldest_s


class RelayLog:
    """Writes the lines of requests, and counts their ends."""

    def __init__(self, means: Means):
        self._means = means

    def log_broken(self, passage: Passage, target: Target, error: str) -> None:
        """Log that a target did not deliver."""
        now = self._means.clock()
        self._means.log(
            "target did not deliver",
            at=round(now, 4),
            request=passage.request.id,
            target=target.announced.lifetime,
            error=error,
            events=passage.splitter.events,
            heard_ms_ago=_find_heard_ms_ago(target, now),
            configuration_ms=self._find_configuration_ms(now),
            fingerprint=passage.named.head_hash.hex(),
        )

    def log_hedge(self, passage: Passage) -> None:
        """Log that another target is tried beside one that fell silent."""
        now, target = self._means.clock(), passage.plan.target
        self._means.log(
            "second attempt beside a silent target",
            at=round(now, 4),
            request=passage.request.id,
            target=target.announced.lifetime,
            events=passage.splitter.events,
            heard_ms_ago=_find_heard_ms_ago(target, now),
        )

    def log_failed(self, request: Request, error: Exception) -> None:
        """Log that the gateway itself failed to handle a request."""
        now = self._means.clock()
        self._means.log(
            "request handling failed",
            at=round(now, 4),
            request=request.id,
            error=repr(error),
            configuration_ms=self._find_configuration_ms(now),
        )

    def _find_configuration_ms(self, now: float) -> int | None:
        """Find for how long the configuration has been in force, milliseconds."""
        fleet = self._means.fleet
        return None if fleet.table is None else round((now - fleet.table_at) * 1000)

    def log_plan(self, passage: Passage, plan: RequestPlan) -> None:
        """Log where a request is sent."""
        directory = self._means.fleet.directory
        prompt = passage.request.prompt
        now = self._means.clock()
        if plan.leaving:
            labels = passage.service, plan.leaving
            self._means.metrics.left_zone.labels(*labels).inc()
        self._means.log(
            "request routed",
            routine=True,
            at=round(now, 4),
            request=passage.request.id,
            route=passage.route.name,
            configuration=self._means.fleet.table.version,
            target=plan.target.announced.lifetime,
            reader=plan.prefill_target.announced.lifetime
            if plan.prefill_target
            else "",
            leaving=plan.leaving,
            home_first_ms=None
            if plan.home_first_event_s is None
            else round(plan.home_first_event_s * 1000, 1),
            holder=plan.cache_source.announced.lifetime if plan.cache_source else "",
            in_flight=plan.target.in_flight,
            faults=round(plan.target.faults, 2),
            wait_ms=round(plan.wait_s * 1000, 1),
            first_ms=round(plan.first_event_s * 1000, 1),
            unread=plan.uncached_tokens,
            reading_ms=round(plan.prefill_s * 1000, 1),
            level=plan.level,
            slot_wait_ms=round(plan.slot_wait_s * 1000, 1),
            has_turn=passage.is_prompt_underserved,
            has_answer_turn=passage.is_answer_underserved,
            is_long=passage.is_long,
            read_share=self._find_read_share(plan),
            prompt_length=prompt.tokens if prompt else None,
            answer_most=prompt.max_answer_tokens if prompt else None,
            left_ms=round((passage.aim_at - now) * 1000, 1),
            due_ms=round((passage.due - now) * 1000, 1),
            list_age_ms=round((now - directory.read_at) * 1000),
            peers=len(self._means.peers.views),
            peers_age_ms=round(find_oldest_s(self._means.peers, now) * 1000),
            store_away=directory.unavailable_since is not None,
            **self._describe_room(prompt, plan),
        )

    def _describe_room(
        self, prompt: Prompt | None, plan: RequestPlan
    ) -> dict[str, float]:
        """Describe the room of a plan's target; nothing for a plain service."""
        engine = self._means.fleet.find_engine(plan.target)
        if engine is None or prompt is None:
            return {}
        pair = plan.target, engine
        view = describe_room(pair, self._means.peers.interval_s)
        tokens = count_tokens(prompt, Use.TAKEN)
        return {
            "memory": tokens,
            "memory_wait_ms": round(estimate_memory_wait_s(pair, tokens) * 1000, 1),
            "free_slots": view.free_slots,
            "set_aside": view.set_aside,
            "free_memory": view.free_tokens,
            "slots_off_by": math.ceil(view.slot_error),
        }

    def _find_read_share(self, plan: RequestPlan) -> float | None:
        """Find with what share of its pace a plan's host may read; None if plain."""
        engine = self._means.fleet.find_engine(plan.target)
        return None if engine is None else round(find_prefill_share(engine), 2)

    def log_end(self, passage: Passage, target: Target | None, outcome: str) -> None:
        """Log and count how a request ended.

        Args:
            passage: The request.
            target: The target that delivered its answer, if one did.
            outcome: How it ended: a few words, and the reason after a colon.
        """
        now = self._means.clock()
        self._count_end(passage, outcome, now)
        plan, prompt = passage.plan, passage.request.prompt
        self._means.log(
            "request ended",
            routine=outcome == "delivered",
            at=round(now, 4),
            request=passage.request.id,
            route=passage.route.name,
            target=target.announced.lifetime if target else "",
            reader=plan.prefill_target.announced.lifetime
            if plan and plan.prefill_target
            else "",
            planned_ms=round(plan.first_event_s * 1000, 1) if plan else None,
            wait_ms=round(plan.wait_s * 1000, 1) if plan else None,
            unread=plan.uncached_tokens if plan else None,
            level=plan.level if plan else None,
            prompt_length=prompt.tokens if prompt else None,
            reading_ms=round(plan.prefill_s * 1000, 1) if plan else None,
            missing_share=round(plan.missing_share, 2) if plan else None,
            aim_ms=round(passage.route.latency_objective_s * 1000),
            gap_ms=round(passage.route.gap_s * 1000) if passage.is_stream else None,
            is_return=passage.is_caller_retry,
            offers=passage.offers,
            events=passage.splitter.events,
            read_ms=_find_ms_since(passage, passage.read_at),
            sent_ms=_find_ms_since(passage, passage.sent_at),
            patience_ms=_find_ms_since(passage, passage.first_due),
            first_ms=_find_ms_since(passage, passage.first_at),
            pause_ms=round(passage.longest_pause_s * 1000, 1),
            held_ms=_find_ms_since(passage, now),
            configuration_ms=self._find_configuration_ms(now),
            held_back=None if target else self._count_held_back(passage, now),
            outcome=outcome,
        )

    def _count_held_back(self, passage: Passage, now: float) -> dict[str, int]:
        """Count a service's targets that want nothing now, by why they do not."""
        found = [
            target
            for target in self._means.fleet.directory.targets.values()
            if target.announced.service == passage.service
        ]
        counts = count_send_obstacles(found, now)
        return {reason.value: count for reason, count in counts.items()}

    def log_not_taken_up(
        self, passage: Passage, refusal: Refusal, return_s: float
    ) -> None:
        """Log and count that a stream that is taken up is refused.

        Args:
            passage: The request.
            refusal: What its caller is told.
            return_s: When a target that could go on with it is expected, seconds; 0 if
                one is there, or none is expected.
        """
        now, origin = self._means.clock(), passage.stream.origin
        self._means.metrics.take_ups_refused.labels(refusal.reason).inc()
        self._means.log(
            "stream not taken up",
            at=round(now, 4),
            request=passage.request.id,
            first_attempt=passage.request.resumption.attempt_id,
            reason=refusal.reason,
            service=passage.service,
            software_version=origin.software_version if origin else "",
            targets=self._count_conditions(passage, now),
            offers=passage.offers,
            return_ms=round(return_s * 1000),
            retry_ms=round(refusal.retry_s * 1000),
            due_ms=round((passage.due - now) * 1000),
        )

    def _count_conditions(self, passage: Passage, now: float) -> dict[str, int]:
        """Count the targets of a stream's version by why they get it not."""
        if passage.stream.origin is None:
            return {}
        version = passage.stream.origin.software_version
        directory = self._means.fleet.directory
        found = returns.list_of_version(directory, passage.service, version)
        return returns.count_conditions(found, now, passage.tried)

    def log_turned_away(self, passage: Passage, refusal: Refusal) -> None:
        """Log and count that a request was turned away, as it crashes targets."""
        self._means.metrics.turned_away.inc()
        self._means.log(
            "request turned away",
            at=round(self._means.clock(), 4),
            request=passage.request.id,
            route=passage.route.name,
            fingerprint=refusal.detail,
            retry_s=round(refusal.retry_s, 1),
        )
        self.log_end(passage, None, f"refused {refusal.status}: {refusal.reason}")

    def log_refused(self, request: Request, reason: str) -> None:
        """Log that a request was refused before a route was found for it."""
        self._means.log("refused", request=request.id, reason=reason)

    def _count_end(self, passage: Passage, outcome: str, now: float) -> None:
        metrics = self._means.metrics
        route, received_at = passage.route.name, passage.request.received_at
        end = outcome.partition(":")[0]
        metrics.requests.labels(route, end).inc()
        if passage.request.prompt is not None:
            size = find_size_class(passage.request.prompt.tokens)
            metrics.prompts.labels(route, str(size), end).inc()
        metrics.latencies.record("held", route, now - received_at)
        if passage.first_at is not None:
            metrics.latencies.record("first", route, passage.first_at - received_at)


def _find_heard_ms_ago(target: Target, now: float) -> int | None:
    """Find how long ago a target was heard, milliseconds; None if it never was."""
    heard_at = target.liveness.heard_at
    return round((now - heard_at) * 1000) if heard_at > 0 else None


def _find_ms_since(passage: Passage, at: float | None) -> float | None:
    """Find the milliseconds from a request's head to a time, None without one."""
    if at is None:
        return None
    return round((at - passage.request.received_at) * 1000, 1)
