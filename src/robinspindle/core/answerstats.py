"""Keeps statistics of answers by route, to tell long answers from short ones.

Callers report the maximum length of an answer, which is far above most lengths, and a
guess whose median is right. The time per event is measured.
"""

import math
from dataclasses import dataclass, field

MIN_LONG_ANSWER_S = 2.0
"""Answers of a route count as long if they are expected to last at least this long
without disturbance, seconds. If their maximum length decided, answers of one second
would be concentrated on few engines, where all of them pause."""

INITIAL_EVENT_S = 0.05
"""Assumed time per event before any was measured, seconds."""

MIN_TIMED_EVENTS = 8
"""Minimum events of an answer for its time per event to count: the last event of an
answer has fewer tokens and comes sooner. Where nine in ten answers are shorter than
this, all events would therefore appear too fast."""

INITIAL_HANDOFF_S = 0.01
"""Assumed delay from the end of a prefill on another engine to the first event, before
any was measured, seconds: one more call and the fetch of about one gigabyte."""

HANDOFF_STEP_FACTOR = 1.1
"""Factor by which the estimated handoff delay rises with an answer that took longer and
falls with one that did not."""

MIN_HANDOFF_S = 0.002
"""Minimum of the estimated handoff delay, seconds: about one network delay to an
engine."""

HANDOFF_DECAY_S = 3.0
"""Time constant with which the estimate returns to its initial value while no answer
begins, seconds. An estimate that makes all plans late would otherwise never recover, as
no request that can meet its deadline is sent there."""

MIN_PAUSE_SENSITIVE_EVENTS = 4.0
"""Minimum expected events for answers of a route to be sensitive to pauses. Shorter
answers hardly pause, so prefill beside them is not limited: engines that generate only
answers of one or two events would otherwise prefill less than they can."""

EVENT_SMOOTHING = 0.05
LENGTH_SMOOTHING = 0.05
"""Weight of the newest answer, and of the newest guess: about the last twenty count."""

RISE_WEIGHT_FACTOR = 0.1
"""Factor on that weight for an event that took longer. The estimate is the time per
event with little prefill beside it, since a pause alone does not make an answer long.
With the mean, answers that pause would count as long and then pause more."""


PRESSURE_WINDOW_S = 5.0
"""Time constant of the average ratio of the duration of the longest answers to their
time limit, seconds: each gateway sees several of them end in that time."""


@dataclass
class DeadlinePressure:
    """Ratio of the duration of a service's longest answers to their time limit.

    Attributes:
        weight: Number of recorded answers, decayed.
        total: Sum of their ratios, decayed.
        at: When both were last updated, monotonic seconds.
    """

    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0


@dataclass(frozen=True)
class Handoff:
    """Delay from the end of prefills on another engine to the first event.

    Attributes:
        seconds: Approximate median delay, seconds.
        at: When an answer last began, monotonic seconds.
    """

    seconds: float
    at: float


@dataclass
class AnswerStats:
    """Statistics of answers.

    Attributes:
        event_s: Time per event without disturbance, seconds, by service.
        handoffs: Delay from the end of a prefill on another engine to the first event,
            by service and by whether the request misses its deadline.
        events: Expected events of an answer, by route.
        services: The service that last served a route.
        pressures: Ratio of the duration of the longest answers to their time limit, by
            service.
    """

    event_s: dict[str, float] = field(default_factory=dict)
    handoffs: dict[tuple[str, bool], Handoff] = field(default_factory=dict)
    events: dict[str, float] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    pressures: dict[str, DeadlinePressure] = field(default_factory=dict)

    def note_expected(self, route: str, service: str, events: float) -> None:
        """Record how many events a caller expects."""
        self.services[route] = service
        previous = self.events.setdefault(route, events)
        self.events[route] = previous + LENGTH_SMOOTHING * (events - previous)

    def note_answer(self, service: str, events: int, seconds: float) -> None:
        """Record an answer: its events, and the time between first and last one."""
        if events < MIN_TIMED_EVENTS:
            return
        previous = self.find_event_s(service)
        measured_s = seconds / (events - 1)
        weight = EVENT_SMOOTHING * (
            RISE_WEIGHT_FACTOR if measured_s > previous else 1.0
        )
        self.event_s[service] = previous + weight * (measured_s - previous)

    def find_event_s(self, service: str) -> float:
        """Find the time per event without disturbance, seconds."""
        return self.event_s.get(service, INITIAL_EVENT_S)

    def note_pressure(self, service: str, now: float, share: float) -> None:
        """Record one long answer.

        Args:
            service: Its service.
            now: The current time, monotonic seconds.
            share: Ratio of the duration of an answer with the maximum number of events,
                at this answer's time per event, to the time limit of its caller.
        """
        pressure = self.pressures.setdefault(service, DeadlinePressure(at=now))
        decay = math.exp((pressure.at - now) / PRESSURE_WINDOW_S)
        pressure.weight = pressure.weight * decay + 1.0
        pressure.total = pressure.total * decay + share
        pressure.at = now

    def find_pressure(self, service: str, now: float) -> float:
        """Find the longest answers' duration relative to their limit; 0 if unknown.

        Args:
            service: The service.
            now: The current time, monotonic seconds.
        """
        pressure = self.pressures.get(service)
        if pressure is None or pressure.weight <= 0.0:
            return 0.0
        weight = pressure.weight * math.exp((pressure.at - now) / PRESSURE_WINDOW_S)
        # A few old answers are no evidence of the present state.
        return pressure.total / pressure.weight if weight >= 1.0 else 0.0

    def note_handoff(
        self, service: str, now: float, seconds: float, is_late: bool
    ) -> None:
        """Record the delay from a prefill on another engine to the first event.

        Args:
            service: The service of the request.
            now: The current time, monotonic seconds.
            seconds: The delay, seconds.
            is_late: Whether the request misses its deadline.
        """
        previous = self.find_handoff_s(service, now, is_late)
        # Fixed steps approach the median: a few stalls of seconds hardly change it.
        step = HANDOFF_STEP_FACTOR if seconds > previous else 1 / HANDOFF_STEP_FACTOR
        handoff_s = max(MIN_HANDOFF_S, previous * step)
        self.handoffs[service, is_late] = Handoff(handoff_s, now)

    def find_handoff_s(self, service: str, now: float, is_late: bool = False) -> float:
        """Find the delay from a prefill on another engine to the first event, seconds.

        Late requests wait at their decode engine for all others. When one estimate
        covered both, their wait made all requests appear late, so that all were sent as
        late and waited.

        Args:
            service: The service.
            now: The current time, monotonic seconds.
            is_late: Whether the request misses its deadline.
        """
        handoff = self.handoffs.get((service, is_late))
        if handoff is None:
            return INITIAL_HANDOFF_S
        decay = math.exp((handoff.at - now) / HANDOFF_DECAY_S)
        return INITIAL_HANDOFF_S + (handoff.seconds - INITIAL_HANDOFF_S) * decay

    def has_pause_sensitive(self, service: str) -> bool:
        """Check whether a service has short answers that are sensitive to pauses."""
        return any(
            self.is_pause_sensitive(route) and not self.is_long(route, service)
            for route, served_by in self.services.items()
            if served_by == service
        )

    def is_pause_sensitive(self, route: str) -> bool:
        """Check whether answers of a route usually have enough events to pause."""
        return self.events.get(route, 0.0) >= MIN_PAUSE_SENSITIVE_EVENTS

    def is_long(self, route: str, service: str) -> bool:
        """Check whether answers of a route are expected to be long."""
        event_s = self.find_event_s(service)
        return self.events.get(route, 0.0) * event_s >= MIN_LONG_ANSWER_S
