"""How long answers last: learnt by route, to tell those that are hosted together.

Callers tell the most that an answer may hold, far more than most answers do, and a
guess that is right in the middle. How long an event takes is seen.
"""

import math
from dataclasses import dataclass, field

LONG_ANSWER_S = 2.0
"""Answers of a route that would last longer than this, undisturbed, count as long,
seconds. Counted by the most that they may hold, answers of a second would be brought
together where all of them pause."""

FIRST_EVENT_S = 0.05
"""What an event is believed to take before any was seen, seconds."""

MIN_TIMED_EVENTS = 8
"""Shorter answers don't tell how long an event takes: their last one is cut short, and
where nine in ten streams are that short, all events would look so."""

FIRST_BEGIN_S = 0.01
"""What an answer is believed to take to begin after its prompt was read apart, before
any did, seconds: one more call and the fetch of about a gigabyte."""

BEGIN_STEP = 1.1
"""By how much what is believed of that goes up with an answer that took longer, and
down with one that did not."""

LEAST_BEGIN_S = 0.002
"""The least that is believed, seconds: about one way to an engine."""

BEGIN_NEWS_S = 3.0
"""Time in which that is forgotten where no answer begins, seconds: what makes all plans
late would never be seen to be over, as nothing goes there in time."""

MIN_PAUSE_SENSITIVE_EVENTS = 4.0
"""Answers of a route that are expected to hold fewer events hardly have a pause: what
is read beside them is not limited for their sake, or engines that host only answers of
one or two events would read less than they can."""

EVENT_SMOOTHING = 0.05
LENGTH_SMOOTHING = 0.05
"""Weight of the newest answer, and of the newest guess: about the last twenty count."""

RISE_SHARE = 0.1
"""Share of that weight with which an event that took longer counts: what is learnt is
an event beside which little is read, since answers that pause are not long for that.
With the mean they become so, and pause the more."""


PRESSURE_S = 5.0
"""Time over which it is averaged how long the longest answers take against their time,
seconds: several of them end meanwhile at each entry."""


@dataclass
class DeadlinePressure:
    """How long the longest answers of a service would take against the time they have.

    Attributes:
        weight: Answers it was seen at, faded.
        total: The sum of shares over them, faded.
        at: When both were last brought up to date, steady seconds.
    """

    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0


@dataclass(frozen=True)
class Handoff:
    """How long answers took to begin after their prompts were read.

    Attributes:
        seconds: What the middle one took, about.
        at: When one was last seen, steady seconds.
    """

    seconds: float
    at: float


@dataclass
class AnswerStats:
    """What is known of answers.

    Attributes:
        event_s: Seconds from one event to the next, undisturbed, by service.
        begins: From the end of a reading apart to the first event, by service and by
            whether it goes after all that can be in time.
        events: Events that an answer is expected to hold, by route.
        services: The service that last served a route.
        pressures: How long the longest answers take against their time, by service.
    """

    event_s: dict[str, float] = field(default_factory=dict)
    begins: dict[tuple[str, bool], Handoff] = field(default_factory=dict)
    events: dict[str, float] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    pressures: dict[str, DeadlinePressure] = field(default_factory=dict)

    def note_expected(self, route: str, service: str, events: float) -> None:
        """Take note of how many events a caller expects."""
        self.services[route] = service
        known = self.events.setdefault(route, events)
        self.events[route] = known + LENGTH_SMOOTHING * (events - known)

    def note_answer(self, service: str, events: int, seconds: float) -> None:
        """Take note of an answer: its events, and from its first to its last."""
        if events < MIN_TIMED_EVENTS:
            return
        known = self.find_event_s(service)
        taken = seconds / (events - 1)
        weight = EVENT_SMOOTHING * (RISE_SHARE if taken > known else 1.0)
        self.event_s[service] = known + weight * (taken - known)

    def find_event_s(self, service: str) -> float:
        """Find how long an undisturbed event takes, seconds."""
        return self.event_s.get(service, FIRST_EVENT_S)

    def note_pressure(self, service: str, now: float, share: float) -> None:
        """Take note of one long answer.

        Args:
            service: Its service.
            now: The present time, steady seconds.
            share: How long an answer with the most events would have taken at the pace
                of this one, as a share of the time that its caller gave it.
        """
        pressure = self.pressures.setdefault(service, DeadlinePressure(at=now))
        kept = math.exp((pressure.at - now) / PRESSURE_S)
        pressure.weight = pressure.weight * kept + 1.0
        pressure.total = pressure.total * kept + share
        pressure.at = now

    def find_pressure(self, service: str, now: float) -> float:
        """Find how long the longest answers take against their time; 0 for not known.

        Args:
            service: The service.
            now: The present time, steady seconds.
        """
        pressure = self.pressures.get(service)
        if pressure is None or pressure.weight <= 0.0:
            return 0.0
        weight = pressure.weight * math.exp((pressure.at - now) / PRESSURE_S)
        # A few answers of long ago say nothing of the present.
        return pressure.total / pressure.weight if weight >= 1.0 else 0.0

    def note_handoff(
        self, service: str, now: float, seconds: float, is_late: bool
    ) -> None:
        """Take note of how long an answer took to begin after its prompt was read.

        Args:
            service: Its service.
            now: The present time, steady seconds.
            seconds: How long it took.
            is_late: Whether it went after all that can be in time.
        """
        known = self.find_handoff_s(service, now, is_late)
        # Toward the middle one: a few that hung for seconds say nothing of the others.
        step = BEGIN_STEP if seconds > known else 1 / BEGIN_STEP
        handoff_s = max(LEAST_BEGIN_S, known * step)
        self.begins[service, is_late] = Handoff(handoff_s, now)

    def find_handoff_s(self, service: str, now: float, is_late: bool = False) -> float:
        """Find how long an answer takes to begin after a reading apart, seconds.

        What is late waits at its host for all that is not. Learnt together, that wait
        made all answers look late, so that all went late and waited.

        Args:
            service: Its service.
            now: The present time, steady seconds.
            is_late: Whether it goes after all that can be in time.
        """
        begin = self.begins.get((service, is_late))
        if begin is None:
            return FIRST_BEGIN_S
        kept = math.exp((begin.at - now) / BEGIN_NEWS_S)
        return FIRST_BEGIN_S + (begin.seconds - FIRST_BEGIN_S) * kept

    def has_pause_sensitive(self, service: str) -> bool:
        """Whether a service has answers that are short and yet have pauses."""
        return any(
            self.is_pause_sensitive(route) and not self.is_long(route, service)
            for route, served_by in self.services.items()
            if served_by == service
        )

    def is_pause_sensitive(self, route: str) -> bool:
        """Whether answers of a route are expected to hold enough events to pause."""
        return self.events.get(route, 0.0) >= MIN_PAUSE_SENSITIVE_EVENTS

    def is_long(self, route: str, service: str) -> bool:
        """Whether answers of a route are expected to be long."""
        event_s = self.find_event_s(service)
        return self.events.get(route, 0.0) * event_s >= LONG_ANSWER_S
