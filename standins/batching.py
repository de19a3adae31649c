"""The stand-in engine's machine room: continuous batching in steps.

A step takes ``BASE_S`` and more for each answer it advances and each prompt token it
reads. Prompts are read in chunks, urgent ones first, and the longer a chunk, the
longer all answers of the batch wait for their next token.
"""

import hashlib
import threading
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field

WORDS = ("rise", "hold", "buy", "zone", "rider", "late", "north", "gate", "note")
CHUNK_TOKENS = 512
PREFIX_TOKENS_KEPT = 40_000


@dataclass(frozen=True)
class Speed:
    """How fast an engine is.

    Attributes:
        base_s: Seconds of a step, whatever is in it.
        answer_s: Seconds more for each answer in the batch.
        prompt_s: Seconds more for each prompt token.
    """

    base_s: float = 0.008
    answer_s: float = 0.001
    prompt_s: float = 0.0001


ROLE_FACTORS = {"mixed": (1.0, 1.0), "prefill": (0.6, 1.0), "decode": (1.6, 0.7)}


@dataclass
class Sequence:
    """A generation.

    Attributes:
        id: Its name.
        digest: Digest of its prompt, which makes its answer.
        unread: Prompt tokens that are not read yet.
        total: Tokens of the whole answer.
        next: Number of the next token.
        priority: Lower goes first.
        stage: ``whole``, ``prefill`` or ``decode``.
        out: Tokens that are made, then None.
        changed: Wakes the reader.
    """

    id: str
    digest: str
    unread: float
    total: int
    next: int
    priority: int
    stage: str
    out: deque = field(default_factory=deque)
    changed: threading.Condition = field(default_factory=threading.Condition)


def make_token(digest: str, number: int) -> str:
    """Make one token of the answer to a prompt; tests check answers with it."""
    seed = hashlib.blake2b(f"{digest}/{number}".encode(), digest_size=2).digest()
    return WORDS[seed[0] % len(WORDS)] + f"{seed[1] % 100} "


def digest_prompt(prompt: str) -> str:
    """Return the digest that makes the answer."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


class Batch:
    """The running batch of one engine."""

    def __init__(self, speed: Speed, slots: int):
        self._speed = speed
        self._slots = slots
        self._lock = threading.Condition()
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self.prefixes: OrderedDict[str, int] = OrderedDict()
        self.events: list[tuple[str, str]] = []
        self.role = "mixed"
        self.steps = 0
        threading.Thread(target=self._work, daemon=True).start()

    @property
    def load(self) -> int:
        """Sequences that are here."""
        return len(self._waiting) + len(self._running)

    def add(self, sequence: Sequence, prefix: str, prefix_tokens: int) -> None:
        """Take a sequence in."""
        with self._lock:
            if prefix and prefix in self.prefixes:
                self.prefixes.move_to_end(prefix)
                sequence.unread = max(1.0, sequence.unread - prefix_tokens)
            elif prefix:
                self._keep_prefix(prefix, prefix_tokens)
            self._waiting.append(sequence)
            self._waiting.sort(key=lambda waiting: waiting.priority)
            self._lock.notify()

    def remove(self, id: str) -> None:
        """Stop a sequence."""
        with self._lock:
            for sequence in [*self._waiting, *self._running]:
                if sequence.id == id:
                    sequence.total = 0
                    self._finish(sequence)
            self._waiting = [s for s in self._waiting if s.id != id]
            self._running = [s for s in self._running if s.id != id]

    def clear(self) -> None:
        """Stop all sequences, as a crash does."""
        for sequence in [*self._waiting, *self._running]:
            self.remove(sequence.id)
        self.prefixes.clear()

    def _keep_prefix(self, prefix: str, tokens: int) -> None:
        self.prefixes[prefix] = tokens
        self.events.append(("added", prefix))
        while sum(self.prefixes.values()) > PREFIX_TOKENS_KEPT:
            gone, _ = self.prefixes.popitem(last=False)
            self.events.append(("removed", gone))

    def _work(self) -> None:
        while True:
            with self._lock:
                while not self._waiting and not self._running:
                    self._lock.wait()
                while self._waiting and len(self._running) < self._slots:
                    self._running.append(self._waiting.pop(0))
                seconds = self._plan_step()
            time.sleep(seconds)
            with self._lock:
                self._end_step()

    def _plan_step(self) -> float:
        """Read a chunk of prompts and return how long the step takes."""
        prompt_factor, answer_factor = ROLE_FACTORS[self.role]
        room = CHUNK_TOKENS
        for sequence in sorted(self._running, key=lambda running: running.priority):
            read = min(room, sequence.unread)
            sequence.unread -= read
            room -= read
        answers = sum(1 for s in self._running if s.unread <= 0)
        prompt_s = (CHUNK_TOKENS - room) * self._speed.prompt_s * prompt_factor
        answer_s = self._speed.base_s + answers * self._speed.answer_s
        return prompt_s + answer_s * answer_factor

    def _end_step(self) -> None:
        self.steps += 1
        for sequence in list(self._running):
            if sequence.unread > 0:
                continue
            if sequence.stage != "prefill" and sequence.next < sequence.total:
                text = make_token(sequence.digest, sequence.next)
                sequence.next += 1
                with sequence.changed:
                    sequence.out.append(text)
                    sequence.changed.notify()
            if sequence.stage == "prefill" or sequence.next >= sequence.total:
                self._running.remove(sequence)
                self._finish(sequence)

    def _finish(self, sequence: Sequence) -> None:
        with sequence.changed:
            sequence.out.append(None)
            sequence.changed.notify()
