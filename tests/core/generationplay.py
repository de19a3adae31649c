"""Simulates the decisions under load in virtual time, with answers being generated.

Extends `loadplay`: a decode engine has slots and computes the events of all its answers
together. Events take longer the more answers there are, and hardly any is made while
the engine prefills a prompt. A caller leaves at its time limit, and an answer with a
pause longer than its kind allows counts as paused.
"""

import random
from dataclasses import dataclass, field, replace

import simpy

from robinspindle.core.answerstats import MIN_PAUSE_SENSITIVE_EVENTS, AnswerStats
from robinspindle.core.decodeplacement import (
    choose_decode_target,
    find_longest_answer_event_s,
    find_max_event_s,
)
from robinspindle.core.interference import (
    find_allowed_pause,
    note_answer_begun,
    note_answer_ended,
    note_answer_event,
    note_event,
    note_long_pause,
    note_short_pause,
    note_slot_hold,
)
from robinspindle.core.priorities import LATE_LEVEL, REQUEST_PRIORITIES, find_rank_level
from robinspindle.core.sizefairness import (
    SizeFairness,
    is_underserved,
    note_arrival,
    note_not_served,
    note_served,
)
from soak.sizeaccount import Ended, SizeAccount
from standins.prompts import Kind, Length
from tests.core.loadplay import Load, Outcome, _Simulation

SERVICE = "s"

ANSWER_TOKEN_WEIGHT = 10
"""Weight of an answer token in the size of a request, in prompt tokens."""

GUESS_SPREAD = 0.5
"""Standard deviation of the logarithm of callers' guesses of the answer length."""

MIN_EVENT_REST_S = 0.001
"""Remaining time of a delayed event below which it is complete, seconds."""


@dataclass(frozen=True)
class Answers:
    """Properties of the answers to one kind of request.

    Attributes:
        events: Number of events per answer.
        gap_s: The longest allowed pause between two events, seconds.
        limit_s: Time after which callers leave in any case, seconds.
    """

    events: Length
    gap_s: float
    limit_s: float


@dataclass(frozen=True)
class DecodeModel:
    """How engines generate events.

    Attributes:
        slots: Answers that an engine generates at once.
        event_s: Time per event of a single answer, seconds.
        extra_answer_s: Additional time per event for each other answer, seconds.
        event_tokens: Tokens per event.
        prefill_block_share: Share of the time of a prefill beside answers in which they
            make no progress.
        start_block_s: Time for which an answer that begins delays the others, seconds.
    """

    slots: int
    event_s: float
    extra_answer_s: float
    event_tokens: int
    prefill_block_share: float = 0.9
    start_block_s: float = 0.0


@dataclass
class Answered(Outcome):
    """What callers received, with their answers.

    Attributes:
        paused: Complete answers with a pause longer than allowed.
        cut: Answers whose callers left before the end.
        unbegun: Prompts that were prefilled, but whose callers left before the answer.
    """

    paused: int = 0
    cut: int = 0
    unbegun: int = 0


@dataclass
class DecodeEngine:
    """Actual state of a decode engine.

    Attributes:
        slots: Slots for answers.
        answers: Answers that it generates.
        prefill_s: Total duration of its completed prefills, seconds.
        prefill_started_at: Start of the current prefill, seconds; None if there is
            none.
    """

    slots: simpy.PriorityResource
    answers: int = 0
    prefill_s: float = 0.0
    prefill_started_at: float | None = None

    def find_prefill_s(self, now: float) -> float:
        """Find the total time for which it has prefilled prompts, seconds."""
        since = now if self.prefill_started_at is None else self.prefill_started_at
        return self.prefill_s + now - since


@dataclass(frozen=True)
class AnswerLoad(Load):
    """A load whose answers are generated.

    Attributes:
        answers: Properties of the answers, by kind.
        decode_model: The decode model of the engines.
    """

    answers: dict[str, Answers] = field(default_factory=dict)
    decode_model: DecodeModel = DecodeModel(64, 0.04, 0.0004, 9)


def simulate_answers(load: AnswerLoad, seed: int = 1) -> Answered:
    """Simulate a load and return what callers received."""
    return _AnswerSimulation(load, random.Random(seed)).run()


def find_rates(outcome: Answered):
    """Find the shares of callers that received complete answers, by kind and size."""
    return SizeAccount(outcome.ended).find_rates()


class _AnswerSimulation(_Simulation):
    def __init__(self, load, rng):
        super().__init__(load, rng)
        self.outcome = Answered()
        self.decode_engines = {
            name: DecodeEngine(
                simpy.PriorityResource(self.env, load.decode_model.slots)
            )
            for name in self.names
        }
        for gateway in self.gateways:
            gateway.stats = AnswerStats()
            gateway.answer_fairness = SizeFairness()

    def _make_gateway(self):
        gateway = super()._make_gateway()
        for target, _ in gateway.pairs:
            slots = self.load.decode_model.slots
            target.announced = replace(target.announced, slots=slots)
        return gateway

    def _find_max_slot_wait_s(self, kind):
        return kind.latency_objective_s

    def run(self):
        for kind in self.kinds:
            self.env.process(self._generate_requests(kind))
        self.env.process(self._send_updates())
        self.env.process(self._report_answers())
        max_limit_s = max(answers.limit_s for answers in self.load.answers.values())
        self.env.run(until=self.load.for_s + max_limit_s + 1.0)
        return self.outcome

    def _make_prompt(self, kind):
        prompt = super()._make_prompt(kind)
        decode_model, answers = self.load.decode_model, self.load.answers[kind.name]
        events = answers.events.draw(self.rng)
        guess = events * self.rng.lognormvariate(0.0, GUESS_SPREAD)
        tokens = decode_model.event_tokens
        # `model` carries the actual length, as nothing else reads it.
        return replace(
            prompt,
            model=str(events),
            max_answer_tokens=round(answers.events.most * tokens),
            expected_answer_tokens=max(1, round(guess * tokens)),
        )

    def _make_planning_context(self, gateway, kind, prompt):
        stats, route = gateway.stats, kind.name
        limit_s = self.load.answers[route].limit_s
        asked = route, prompt.expected_answer_tokens
        note_arrival(gateway.answer_fairness, self.env.now, *asked)
        context = super()._make_planning_context(gateway, kind, prompt)
        return replace(
            context,
            gap_s=self.load.answers[route].gap_s,
            is_long=stats.is_long(route, SERVICE),
            has_pause_sensitive=stats.has_pause_sensitive(SERVICE),
            handoff_s=stats.find_handoff_s(SERVICE, self.env.now),
            max_event_s=find_max_event_s(
                prompt,
                self.load.decode_model.event_tokens,
                limit_s,
            ),
            longest_answer_event_s=find_longest_answer_event_s(
                prompt,
                self.load.decode_model.event_tokens,
                stats.events.get(route, 0.0),
                limit_s,
                self.load.answers[route].gap_s,
            ),
            is_answer_underserved=is_underserved(
                gateway.answer_fairness, self.env.now, *asked
            ),
            late_handoff_s=stats.find_handoff_s(SERVICE, self.env.now, True),
        )

    def _note_expected(self, gateway, kind, prompt):
        events = prompt.expected_answer_tokens / self.load.decode_model.event_tokens
        gateway.stats.note_expected(kind.name, SERVICE, events)

    def _report_answers(self):
        """Report to each gateway how many answers of the others are in flight."""
        while True:
            yield self.env.timeout(self.load.update_interval_s)
            for index in range(len(self.names)):
                request_counts = [g.pairs[index][0].in_flight for g in self.gateways]
                long = [g.pairs[index][1].own_long_answers for g in self.gateways]
                for number, gateway in enumerate(self.gateways):
                    engine = gateway.pairs[index][1]
                    engine.peers_in_flight["others"] = (
                        sum(request_counts) - request_counts[number]
                    )
                    engine.peers_long_answers["others"] = sum(long) - long[number]

    def _run_prefill(self, engine_name, busy_s):
        decode_engine = self.decode_engines[engine_name]
        decode_engine.prefill_started_at = self.env.now
        yield self.env.timeout(busy_s)
        decode_engine.prefill_s += self.env.now - decode_engine.prefill_started_at
        decode_engine.prefill_started_at = None

    def _answer(self, gateway, kind, prompt, plan, arrived_at):
        env, answers = self.env, self.load.answers[kind.name]
        self._note_expected(gateway, kind, prompt)
        prefilled_at = env.now
        is_long = gateway.stats.is_long(kind.name, SERVICE)
        target = plan.target
        if plan.prefill_target is not None:
            target = choose_decode_target(
                gateway.pairs, "a", env.now, self.load.update_interval_s, self.rng,
                gateway.stats.has_pause_sensitive(SERVICE),
            )  # fmt: skip
            yield env.timeout(self.load.network_delay_s / 2 + 0.002)
        name = target.announced.lifetime
        engine = next(e for t, e in gateway.pairs if t is target)
        target.in_flight += 1
        engine.own_long_answers += is_long
        level = plan.level
        if plan.prefill_target is not None and level == LATE_LEVEL:
            level = find_rank_level(kind.rank)
        progress = yield from self._generate(
            name, engine, kind, prompt, REQUEST_PRIORITIES[level], arrived_at,
            self._make_pause_recorder(engine, kind, prompt, is_long, arrived_at),
        )  # fmt: skip
        engine.own_long_answers -= is_long
        target.in_flight -= 1
        if plan.prefill_target is not None and progress.first_at is not None:
            seconds = progress.first_at - prefilled_at
            is_late = plan.level == LATE_LEVEL
            gateway.stats.note_handoff(SERVICE, env.now, seconds, is_late)
        if progress.first_at is not None:
            note_slot_hold(engine, env.now - progress.first_at)
        if progress.first_at is not None and progress.event_count > 1:
            seconds = env.now - progress.first_at
            gateway.stats.note_answer(SERVICE, progress.event_count, seconds)
        counts = plan.level < LATE_LEVEL
        if counts != progress.is_whole:
            note = note_served if progress.is_whole else note_not_served
            note(gateway.prompt_fairness, env.now, kind.name, prompt.tokens)
        if progress.is_whole:
            asked = kind.name, prompt.expected_answer_tokens
            note_served(gateway.answer_fairness, env.now, *asked)
        self._note_answer(kind, prompt, progress, arrived_at, answers)

    def _make_pause_recorder(self, engine, kind, prompt, is_long, arrived_at):
        """Make a callback that records pauses as a gateway does."""
        answers, tokens = (
            self.load.answers[kind.name],
            self.load.decode_model.event_tokens,
        )

        def note(pause_s, event_count):
            if not is_long:
                if answers.events.mean < MIN_PAUSE_SENSITIVE_EVENTS:
                    return
                note_short_pause(engine, pause_s, answers.gap_s)
                note_event(engine, self.env.now, pause_s)
                return
            left_s = arrived_at + answers.limit_s - self.env.now
            allowed = find_allowed_pause(
                prompt, event_count, tokens, left_s, answers.gap_s
            )
            note_long_pause(engine, pause_s, allowed)
            note_event(engine, self.env.now, pause_s)

        return note

    def _generate(self, name, engine, kind, prompt, request_priority, arrived_at, note):
        """Generate an answer until it is complete or its caller leaves."""
        env, decode_engine = self.env, self.decode_engines[name]
        answers = self.load.answers[kind.name]
        generated = AnswerProgress()
        with decode_engine.slots.request(priority=request_priority) as slot:
            patience_s = arrived_at + kind.patience_s - env.now
            yield slot | env.timeout(max(0.0, patience_s))
            if not slot.triggered:
                return generated
            decode_engine.answers += 1
            has_pauses = answers.events.mean >= MIN_PAUSE_SENSITIVE_EVENTS
            decode_engine.prefill_s += self.load.decode_model.start_block_s
            last_at, total = env.now, int(prompt.model)
            while generated.event_count < total:
                yield from self._wait_for_event(name, decode_engine)
                if env.now > arrived_at + answers.limit_s:
                    break
                generated.event_count += 1
                if generated.first_at is None:
                    generated.first_at = env.now
                    if has_pauses:
                        note_answer_begun(engine, env.now)
                    if env.now > arrived_at + kind.patience_s:
                        break
                else:
                    generated.longest_s = max(generated.longest_s, env.now - last_at)
                    if has_pauses:
                        note_answer_event(engine, env.now)
                    note(env.now - last_at, generated.event_count)
                last_at = env.now
            decode_engine.answers -= 1
            if generated.first_at is not None and has_pauses:
                note_answer_ended(engine)
        generated.is_whole = generated.event_count >= total
        return generated

    def _wait_for_event(self, name, decode_engine):
        """Wait for the next event, which is delayed by prefill beside it."""
        decode_model, env = self.load.decode_model, self.env
        left_s = (
            decode_model.event_s + decode_model.extra_answer_s * decode_engine.answers
        )
        left_s *= 3.0 if name in self.load.slow else 1.0
        while left_s > MIN_EVENT_REST_S:
            before_s = decode_engine.find_prefill_s(env.now)
            yield env.timeout(left_s)
            left_s = decode_model.prefill_block_share * (
                decode_engine.find_prefill_s(env.now) - before_s
            )

    def _find_size(self, prompt):
        answer_tokens = int(prompt.model) * self.load.decode_model.event_tokens
        return prompt.tokens + ANSWER_TOKEN_WEIGHT * answer_tokens

    def _note_answer(self, kind, prompt, progress, arrived_at, answers):
        outcome = self.outcome
        size = self._find_size(prompt)
        in_time = (
            progress.is_whole
            and progress.first_at - arrived_at <= kind.latency_objective_s
        )
        if progress.is_whole and progress.longest_s > answers.gap_s:
            outcome.paused += 1
            in_time = False
        if not progress.is_whole:
            outcome.cut += progress.event_count > 0
            outcome.unbegun += progress.event_count == 0
        outcome.in_time += in_time
        outcome.late += progress.is_whole and not in_time
        outcome.refused += not progress.is_whole
        last = "in time" if in_time else "late" if progress.is_whole else "left"
        outcome.ended.append(Ended(kind.name, size, progress.is_whole, last))

    def _note_end(self, kind, prompt, taken_s):
        """Record a refusal; all other ends are recorded with their answers."""
        size = self._find_size(prompt)
        self.outcome.refused += 1
        self.outcome.ended.append(Ended(kind.name, size, False, "refused"))


@dataclass
class AnswerProgress:
    """Progress of one answer.

    Attributes:
        event_count: Number of events that were generated.
        first_at: Time of the first event, seconds; None if there is none.
        longest_s: The longest pause between two events, seconds.
        is_whole: Whether all events were generated before the caller left.
    """

    event_count: int = 0
    first_at: float | None = None
    longest_s: float = 0.0
    is_whole: bool = False


def make_matchmaking_load(kinds: tuple[Kind, ...], **more) -> AnswerLoad:
    """Make the load of a matchmaking deployment with answers of three kinds."""
    answers = {
        "season-grid": Answers(Length(13.3, 1.4, 53.2), 0.2, 6.0),
        "club-night-grid": Answers(Length(6.0, 1.0, 23.0), 0.2, 4.0),
        "quick-pair": Answers(Length(19.1, 0.89, 66.8), 0.2, 6.0),
    }
    return AnswerLoad(
        per_s=0.0, kinds=kinds, tokens_per_s=64_200, cache_tokens=441_644,
        gives_turns=True, answers=answers, **more,
    )  # fmt: skip


def make_dispatch_load(times: float, **more) -> AnswerLoad:
    """Make the load of a dispatch deployment: many short answers, and long notes."""
    rulebooks, zones = Length(2_520, 0.4, 6_290), Length(3_780, 0.7, 11_300)
    kinds = (
        Kind(
            "assignment", 52.0 * times, 1, 0.2, 2.0,
            ((rulebooks, 4), (zones, 200)), Length(2_890, 1.0, 39_600),
        ),
        Kind(
            "note", 9.0 * times, 0, 0.15, 2.0,
            ((Length(79, 0.4, 200), 10),), Length(141, 0.8, 500),
        ),
    )  # fmt: skip
    answers = {
        "assignment": Answers(Length(2.0, 0.6, 6.0), 0.2, 2.0),
        "note": Answers(Length(90.0, 0.7, 214.0), 0.2, 15.0),
    }
    decode_model = DecodeModel(
        96, 0.036, 0.0004, 57, prefill_block_share=0.7, start_block_s=0.008
    )
    return AnswerLoad(
        per_s=0.0, kinds=kinds, tokens_per_s=346_000, cache_tokens=872_000,
        gives_turns=True, answers=answers, decode_model=decode_model, **more,
    )  # fmt: skip
