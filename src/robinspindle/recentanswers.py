"""Whole answers whose targets may still crash because of them.

A target may crash a moment after it has written a whole answer. An answer therefore
counts as a success only once its target has lived on for a while.
"""

from collections import deque
from dataclasses import dataclass

from robinspindle.core.fingerprints import Fingerprint
from robinspindle.crashwatch import Run

CONFIRMATION_S = 0.5
"""How long a target must live after a whole answer, seconds: some times as long as a
target that crashes because of one takes to end."""

MAX_KEPT_BODY_BYTES = 1_000_000
"""Bytes of bodies that are kept after their answers; beyond it, bodies are hashed at
once and dropped, which delays other requests."""


@dataclass(frozen=True)
class RecentAnswer:
    """A run that delivered a whole answer.

    Attributes:
        run: The run.
        at: When its answer ended, monotonic seconds.
    """

    run: Run
    at: float


class RecentAnswers:
    """The whole answers of one gateway that are not confirmed yet."""

    def __init__(self):
        self._answers: deque[RecentAnswer] = deque()
        self._kept_bytes = 0

    def add(self, run: Run, now: float) -> None:
        """Keep a run that has just delivered a whole answer."""
        self._answers.append(RecentAnswer(run, now))
        self._kept_bytes += run.named.kept_bytes
        if self._kept_bytes > MAX_KEPT_BODY_BYTES:
            self._forget_bodies()

    def _forget_bodies(self) -> None:
        """Count what is kept anew, and drop it if it is too much."""
        kept = [answer.run.named for answer in self._answers]
        self._kept_bytes = sum(named.kept_bytes for named in kept)
        if self._kept_bytes > MAX_KEPT_BODY_BYTES:
            for named in kept:
                named.forget_body()
            self._kept_bytes = 0

    def has(self, fingerprint: Fingerprint) -> bool:
        """Whether a request with a fingerprint is among them."""
        return any(answer.run.named.has(fingerprint) for answer in self._answers)

    def take_confirmed(self, now: float) -> list[RecentAnswer]:
        """Remove and return the answers whose targets have lived on."""
        confirmed = []
        while self._answers and now - self._answers[0].at >= CONFIRMATION_S:
            confirmed.append(self._answers.popleft())
        return confirmed

    def take_crashed(self, lifetime: str, at: float) -> list[RecentAnswer]:
        """Remove and return the answers shortly before a target's crash.

        Args:
            lifetime: The lifetime that ended.
            at: When that was detected, monotonic seconds.
        """
        crashed = [
            answer
            for answer in self._answers
            if answer.run.target.announced.lifetime == lifetime
            and answer.at > at - CONFIRMATION_S
        ]
        for answer in crashed:
            self._answers.remove(answer)
        return crashed
