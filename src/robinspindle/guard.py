"""Guards targets against requests that crash them: what one gateway sees of crashes.

The evidence is `core.crashes`; here are the runs under way.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from robinspindle.core import crashes, targets
from robinspindle.core.crashes import Crash, Evidence
from robinspindle.core.fingerprints import NamedRequest
from robinspindle.core.targets import Directory, Target
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.lifechecks import Life, LifeChecks
from robinspindle.logs import Log

PENDING_S = 5.0
"""How long a broken connection may turn out to have been a crash, seconds: a target
that started again under its id says so with its next entry, within 3.6 s."""


@dataclass(eq=False)
class Run:
    """One sending that is under way at a target.

    Attributes:
        named: The request.
        target: The target.
        since: Since when, steady seconds.
    """

    named: NamedRequest
    target: Target
    since: float


@dataclass(frozen=True)
class Broken:
    """A run whose connection broke, for a reason that is not known yet.

    Attributes:
        run: The run.
        at: When that was, steady seconds.
    """

    run: Run
    at: float


class Guard:
    """What one gateway knows of crashes.

    Attributes:
        evidence: What speaks against requests.
    """

    def __init__(self, directory: Directory, clock: Callable[[], float], log: Log):
        self.evidence = Evidence()
        self._directory = directory
        self._clock = clock
        self._log = log
        self._checks = LifeChecks()
        self._runs: set[Run] = set()
        self._pending: list[Broken] = []

    @asynccontextmanager
    async def watch(self, named: NamedRequest, target: Target) -> AsyncIterator[None]:
        """Keep a sending among the runs, and see why it breaks if it does."""
        run = Run(named, target, self._clock())
        self._runs.add(run)
        try:
            yield
        except ConnectionBrokenError as error:
            if error.was_sent:
                await self._find_cause(run)
            raise
        finally:
            self._runs.discard(run)

    def note_life_over(self, target: Target) -> None:
        """Take note that a life is over: what broke there lately met its end."""
        for broken in self._pending:
            if broken.run.target is target:
                self._note_crash(broken.run, broken.at)
        self._pending = [b for b in self._pending if b.run.target is not target]

    def forget_pending(self, now: float) -> None:
        """Forget broken runs that were no crash, or of which that was never known."""
        self._pending = [b for b in self._pending if now - b.at <= PENDING_S]

    async def _find_cause(self, run: Run) -> None:
        """Find out whether a run's connection broke because its target crashed."""
        if self._is_planned(run.target):
            return
        at = self._clock()
        if self._is_outlived(run.target):
            self._note_crash(run, at)
            return
        life = await self._checks.check(run.target)
        if life is Life.OVER:
            self._note_crash(run, at)
        else:
            self._pending.append(Broken(run, at))

    def _is_planned(self, target: Target) -> bool:
        """Whether a target was about to end anyway."""
        is_missing = target.gone_at is not None and not self._is_outlived(target)
        return target.announced.leaving or is_missing

    def _is_outlived(self, target: Target) -> bool:
        return targets.is_outlived(self._directory, target.announced.lifetime)

    def _note_crash(self, run: Run, at: float) -> None:
        announced, named = run.target.announced, run.named
        runs = {named.fingerprint: at - run.since}
        crash = Crash(announced.lifetime, announced.service, at, runs)
        if crashes.note_crash(self.evidence, crash, at):
            self._log(
                "target crashed under a request",
                target=announced.lifetime,
                request=named.request.id,
                fingerprint=named.fingerprint.hex(),
                ran_ms=round((at - run.since) * 1000),
                crashes_met=crashes.count_met(self.evidence, named.fingerprint),
            )
