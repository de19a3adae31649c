"""Sendings that are under way at targets, and why they break.

A broken connection may be a reset, a planned end or a crash. Who sent what a target
crashed under is told, for the guard to judge.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.core import targets
from robinspindle.core.fingerprints import FingerprintedRequest
from robinspindle.core.targets import Directory, Target
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.lifechecks import Life, LifeChecks

PENDING_S = 5.0
"""How long a broken connection may turn out to have been a crash, seconds: a target
that started again under its id says so with its next entry, within 3.6 s."""


@dataclass(eq=False)
class Run:
    """One sending that is under way at a target.

    Attributes:
        named: The request.
        target: The target.
        kind: What is asked of it: runs of one kind take about as long.
        since: Since when, steady seconds.
        stop: Breaks it off; None before it is sent.
    """

    named: FingerprintedRequest
    target: Target
    kind: str
    since: float
    stop: Callable[[], None] | None = None


QUICK_S = 0.03
"""How long a request waits for the check before it may go elsewhere, seconds: ten times
the way between zones. Behind a cut the check goes on without it."""

RECHECK_S = 0.5
"""How often a target is asked again whose life could not be told, seconds: behind a
link that is cut or loses packets a crash looks like silence."""


@dataclass
class Broken:
    """A run whose connection broke, for a reason that is not known yet.

    Attributes:
        run: The run.
        at: When that was, steady seconds.
        is_unknown: Whether its target could not be asked either.
    """

    run: Run
    at: float
    is_unknown: bool


class CrashWatch:
    """The runs of one gateway.

    Attributes:
        under_way: All of them.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Callable[[], float],
        note_crash: Callable[[Run, float], None],
    ):
        """Begin with nothing under way.

        Args:
            directory: The targets.
            clock: Tells the present time, steady seconds.
            note_crash: Told a run under which its target crashed, and when.
        """
        self.under_way: set[Run] = set()
        self._directory = directory
        self._clock = clock
        self._note_crash = note_crash
        self._checks = LifeChecks()
        self._pending: list[Broken] = []

    def watch(
        self, named: FingerprintedRequest, target: Target, kind: str
    ) -> "Watched":
        """Keep a sending among the runs, and see why it breaks if it does.

        Returns:
            A context that gives the run.
        """
        return Watched(self, Run(named, target, kind, self._clock()))

    def begin(self, run: Run) -> None:
        """Take note that a run is under way."""
        self.under_way.add(run)

    def end(self, run: Run) -> None:
        """Take note that it is not any more."""
        self.under_way.discard(run)

    def note_life_over(self, target: Target) -> None:
        """Take note that a life is over: what broke there lately met its end."""
        for broken in self._pending:
            if broken.run.target is target:
                self._note_crash(broken.run, broken.at)
        self._pending = [b for b in self._pending if b.run.target is not target]

    async def recheck(self) -> None:
        """Ask targets again whose lives could not be told, for as long as it runs."""
        while True:
            await asyncio.sleep(RECHECK_S)
            unknown = [broken for broken in self._pending if broken.is_unknown]
            await asyncio.gather(*(self._recheck(broken) for broken in unknown))

    def forget_pending(self, now: float) -> None:
        """Forget broken runs of which it was never known why they broke."""
        self._pending = [b for b in self._pending if now - b.at <= PENDING_S]

    async def find_cause(self, run: Run) -> None:
        """Find out whether a run's connection broke because its target crashed."""
        run.named.is_trial = False
        if self._is_planned(run.target):
            return
        at = self._clock()
        if self._is_outlived(run.target):
            self._note_crash(run, at)
            return
        life = await self._check_quickly(run.target)
        if life is Life.OVER:
            self._note_crash(run, at)
        else:
            self._pending.append(Broken(run, at, life is Life.UNKNOWN))

    async def _check_quickly(self, target: Target) -> Life:
        """Check a life, but don't hold a request up where no answer comes."""
        try:
            async with asyncio.timeout(QUICK_S):
                return await self._checks.check(target)
        except TimeoutError:
            return Life.UNKNOWN

    async def _recheck(self, broken: Broken) -> None:
        life = await self._checks.check(broken.run.target)
        broken.is_unknown = life is Life.UNKNOWN
        if life is Life.OVER:
            self.note_life_over(broken.run.target)

    def _is_planned(self, target: Target) -> bool:
        """Whether a target was about to end anyway."""
        is_missing = target.gone_at is not None and not self._is_outlived(target)
        return target.announced.leaving or is_missing

    def _is_outlived(self, target: Target) -> bool:
        return targets.is_superseded(self._directory, target.announced.lifetime)


class Watched:
    """The context of a run; cheaper than one made of a generator."""

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
