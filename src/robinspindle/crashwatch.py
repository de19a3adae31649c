"""Runs at targets that are in progress, and why their connections break.

A broken connection may be a reset, a planned end or a crash. The guard is told of each
run that was in progress when its target crashed.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.core import targets
from robinspindle.core.fingerprints import FingerprintedRequest
from robinspindle.core.targets import Directory, Target
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.lifetimechecks import LifetimeChecks, LifetimeState

MAX_PENDING_S = 5.0
"""How long a broken connection may turn out to have been a crash, seconds: a target
that started again under its id says so with its next entry, within 3.6 s."""


@dataclass(eq=False)
class Run:
    """One run of a request at a target.

    Attributes:
        named: The request, with its fingerprint.
        target: The target.
        kind: The kind of run; runs of one kind take about as long.
        since: When it began, monotonic seconds.
        stop: Breaks it off; None before it is sent.
        began_at: When the target began to answer, monotonic seconds; None before.
    """

    named: FingerprintedRequest
    target: Target
    kind: str
    since: float
    stop: Callable[[], None] | None = None
    began_at: float | None = None


CHECK_WAIT_S = 0.03
"""How long a request waits for the check before it may be retried elsewhere, seconds:
ten times the network delay between zones. Behind a cut the check goes on without
it."""

RECHECK_S = 0.5
"""How often a target is checked again of which it isn't known whether it runs, seconds:
behind a link that is cut or loses packets a crash looks like silence."""


@dataclass
class BrokenRun:
    """A run whose connection broke, for a reason that is not known yet.

    Attributes:
        run: The run.
        at: When it broke, monotonic seconds.
        is_unknown: Whether the check of its target had no result either.
    """

    run: Run
    at: float
    is_unknown: bool


class CrashWatch:
    """The runs of one gateway.

    Attributes:
        under_way: All that are in progress.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Callable[[], float],
        note_crash: Callable[[Run, float], None],
    ):
        """Begin without any run.

        Args:
            directory: The targets.
            clock: Tells the present time, monotonic seconds.
            note_crash: Told a run that was in progress when its target crashed, and
                when that was.
        """
        self.under_way: set[Run] = set()
        self._directory = directory
        self._clock = clock
        self._note_crash = note_crash
        self._checks = LifetimeChecks()
        self._pending: list[BrokenRun] = []

    def watch(
        self, named: FingerprintedRequest, target: Target, kind: str
    ) -> "WatchedRun":
        """Keep a run while it is in progress, and find out why it breaks if it does.

        Returns:
            A context that gives the run.
        """
        return WatchedRun(self, Run(named, target, kind, self._clock()))

    def begin(self, run: Run) -> None:
        """Record that a run begins."""
        self.under_way.add(run)

    def end(self, run: Run) -> None:
        """Record that a run ended."""
        self.under_way.discard(run)

    def note_life_over(self, target: Target) -> None:
        """Record that a lifetime ended: it crashed under the runs that broke lately."""
        for broken in self._pending:
            if broken.run.target is target:
                self._note_crash(broken.run, broken.at)
        self._pending = [b for b in self._pending if b.run.target is not target]

    async def recheck(self) -> None:
        """Check targets again whose state is unknown, for as long as it runs."""
        while True:
            await asyncio.sleep(RECHECK_S)
            unknown = [broken for broken in self._pending if broken.is_unknown]
            await asyncio.gather(*(self._recheck(broken) for broken in unknown))

    def forget_pending(self, now: float) -> None:
        """Forget broken runs whose cause was not found in time."""
        self._pending = [b for b in self._pending if now - b.at <= MAX_PENDING_S]

    async def find_cause(self, run: Run) -> None:
        """Find out whether a run's connection broke because its target crashed."""
        run.named.is_trial = False
        if self._is_planned(run.target):
            return
        at = self._clock()
        if self._is_superseded(run.target):
            self._note_crash(run, at)
            return
        life = await self._check_quickly(run.target)
        if life is LifetimeState.ENDED:
            self._note_crash(run, at)
        else:
            # It may stay for seconds.
            run.named.forget_body()
            self._pending.append(BrokenRun(run, at, life is LifetimeState.UNKNOWN))

    async def _check_quickly(self, target: Target) -> LifetimeState:
        """Check a lifetime, but don't delay a request where no answer comes."""
        try:
            async with asyncio.timeout(CHECK_WAIT_S):
                return await self._checks.check(target)
        except TimeoutError:
            return LifetimeState.UNKNOWN

    async def _recheck(self, broken: BrokenRun) -> None:
        life = await self._checks.check(broken.run.target)
        broken.is_unknown = life is LifetimeState.UNKNOWN
        if life is LifetimeState.ENDED:
            self.note_life_over(broken.run.target)

    def _is_planned(self, target: Target) -> bool:
        """Whether a target was about to end anyway."""
        is_missing = target.gone_at is not None and not self._is_superseded(target)
        return targets.is_leaving(target) or is_missing

    def _is_superseded(self, target: Target) -> bool:
        return targets.is_superseded(self._directory, target.announced.lifetime)


class WatchedRun:
    """The context of a run; cheaper than a context made of a generator."""

    def __init__(self, watch: CrashWatch, run: Run):
        self._watch = watch
        self._run = run

    async def __aenter__(self) -> Run:
        """Begin the run."""
        self._watch.begin(self._run)
        return self._run

    async def __aexit__(self, kind, error, traceback) -> None:
        """End the run, and find out why it broke."""
        try:
            if isinstance(error, ConnectionBrokenError) and error.was_sent:
                await self._watch.find_cause(self._run)
        finally:
            self._watch.end(self._run)
