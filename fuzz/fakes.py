"""Fakes at the interfaces: the log, engines and services, in memory."""

import random
from dataclasses import dataclass, field

from msgspec.structs import replace

from robinspindle.core.records import ObservedEngine, Step
from robinspindle.messages import Work

STEP_S = 0.05
CHANGE_S = 1.0


@dataclass
class FakeLog:
    """The log service: streams of bytes with offsets, and what goes wrong.

    Attributes:
        streams: Records by stream.
        first: First retained offset by stream.
        is_out: Whether it answers nothing.
        loses_answers: Whether appends take effect without an answer.
    """

    streams: dict[str, list[bytes]] = field(default_factory=dict)
    first: dict[str, int] = field(default_factory=dict)
    is_out: bool = False
    loses_answers: bool = False

    def append(self, stream: str, data: bytes) -> bool:
        """Append, and tell whether the writer got an answer."""
        if self.is_out:
            return False
        self.streams.setdefault(stream, []).append(data)
        return not self.loses_answers

    def read(self, stream: str, start: int) -> tuple[int, list[bytes], int]:
        """Return the offset of the first record read, the records, and the next."""
        records = self.streams.get(stream, [])
        begin = max(start, self.first.get(stream, 0))
        return begin, records[begin:], len(records)


@dataclass
class RunRow:
    """A run that a target really did."""

    target: str
    run: str
    work: Work
    at: float
    ended: str = ""


@dataclass
class OrderRow:
    """An order that an engine really got."""

    target: str
    fence: int
    step: Step
    at: float
    in_flight: int
    was_busy: bool
    took_effect: bool


@dataclass
class FakeTarget:
    """An engine or a plain service.

    Attributes:
        name: The target's name.
        is_service: Whether it is a plain service.
        checks_fence: Whether an engine refuses an old number.
        found: What an engine is.
        first: What it is after a crash.
        boot: Name of its run.
        fence: The highest number it has seen.
        busy_until: Until when it carries out an order.
        running: Runs under way: row, next token, and its listener.
        runs: All runs, ever.
        orders: All orders, ever.
    """

    name: str
    is_service: bool
    checks_fence: bool
    found: ObservedEngine
    first: ObservedEngine
    boot: int = 0
    fence: int = -1
    busy_until: float = 0.0
    running: dict[str, list] = field(default_factory=dict)
    runs: list[RunRow] = field(default_factory=list)
    orders: list[OrderRow] = field(default_factory=list)

    def is_busy(self, now: float) -> bool:
        """Whether it is in the middle of a change."""
        return now < self.busy_until

    def begin(self, now: float, run: str, work: Work, listener) -> None:
        """Begin a run; the listener gets its events."""
        row = RunRow(self.name, run, work, now)
        self.runs.append(row)
        self.running[run] = [row, len(work.resumed), listener]

    def step(self, now: float, rng: random.Random) -> None:
        """Advance every run by a token; a call ends after a few steps."""
        for run, entry in list(self.running.items()):
            row, number, listener = entry
            if self.is_service:
                if rng.random() < 0.4:
                    self._end(run, listener)
            elif row.work.stage == "prefill":
                self._end(run, listener)
            elif number < row.work.max_tokens:
                entry[1] += 1
                listener("token", make_token(row.work.prompt, number))
            else:
                self._end(run, listener)

    def _end(self, run: str, listener) -> None:
        row = self.running.pop(run)[0]
        row.ended = "whole"
        listener("end", "")

    def break_all(self, reason: str) -> None:
        """Break off every run."""
        for run in list(self.running):
            row, _, listener = self.running.pop(run)
            row.ended = reason
            listener("broken", reason)

    def crash(self) -> None:
        """Lose all runs and come up as at first."""
        self.break_all("crash")
        self.found = self.first
        self.boot += 1
        self.busy_until = 0.0

    def take_order(self, now: float, fence: int, step: Step) -> bool:
        """Take an order in; False when its number is refused."""
        refused = self.checks_fence and fence < self.fence
        self.orders.append(
            OrderRow(
                target=self.name,
                fence=fence,
                step=step,
                at=now,
                in_flight=len(self.running),
                was_busy=self.is_busy(now),
                took_effect=not refused,
            )
        )
        if refused:
            return False
        self.fence = max(self.fence, fence)
        self.busy_until = now + CHANGE_S
        return True

    def finish_order(self, step: Step) -> None:
        """Take the order's effect on."""
        if step.action == "role":
            self.found = replace(self.found, role=step.role)
        elif step.action == "load":
            self.found = replace(
                self.found,
                model=step.model,
                adapters=step.adapters,
                version=step.version,
            )


def make_token(prompt: str, number: int) -> str:
    """Make one token of the answer to a prompt."""
    return f"{prompt}.{number} "
