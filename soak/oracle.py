"""What callers and replicas see, and what must never be seen."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

ONCE = ("once", "chat")
PROMISES = (408, 421, 429, 503)

LEAST_FINAL = 200
LEAST_ODD = 600
"""Statuses of answers are those from the first to below the second."""


@dataclass
class Oracle:
    """Everything that was seen.

    Attributes:
        sent: Kind of each request's id.
        runs: How often replicas ran each id.
        promised: Ids whose callers were told that they never ran.
        outcomes: How often each status was answered, 0 for a broken answer.
        findings: What must not be seen and was.
        served: Kinds of which each caller got whole answers.
    """

    sent: dict[str, str] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    promised: set[str] = field(default_factory=set)
    outcomes: dict[str, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    findings: list[str] = field(default_factory=list)
    served: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))

    def note_sent(self, id: str, kind: str) -> None:
        """Take note of a request before it is sent."""
        self.sent[id] = kind

    def note_run(self, id: str, body: bytes) -> None:
        """Take note that a replica runs a request."""
        kind = self.sent.get(id)
        self.runs[id] += 1
        if kind is None:
            self.findings.append(f"{id}: runs, but no caller sent it")
        elif body != expect_body(id):
            self.findings.append(f"{id}: runs with another body")
        if kind in ONCE and self.runs[id] > 1:
            self.findings.append(f"{id}: {kind} runs {self.runs[id]} times")

    def note_answer(self, id: str, status: int, body: bytes, is_whole: bool) -> None:
        """Take note of what a caller got."""
        kind = self.sent[id]
        self.outcomes[kind][status if is_whole else 0] += 1
        if not is_whole:
            return
        if not LEAST_FINAL <= status < LEAST_ODD:
            self.findings.append(f"{id}: {kind} is answered with status {status}")
        if status in PROMISES:
            self.promised.add(id)
        if status == 200:
            self.served[id.rpartition("-")[0]].add(kind)
        if status == 200 and body != expect_answer(id, kind):
            self.findings.append(f"{id}: a whole {kind} answer is {body[:60]!r}")

    def was_served(self, caller: str) -> bool:
        """Whether a caller got whole answers of a plain service and of an engine."""
        return {"safe", "chat"} <= self.served[caller]

    def check_promises(self) -> None:
        """Check at the end that nothing ran which was said not to run."""
        for id in self.promised:
            if self.sent[id] in ONCE and self.runs[id]:
                self.findings.append(f"{id}: ran, and its caller was told it did not")


def expect_body(id: str) -> bytes:
    """The body that a caller sends with an id."""
    return f"request {id}".encode()


def expect_answer(id: str, kind: str) -> bytes:
    """The whole answer to an id."""
    if kind in ("chat", "digest"):
        name = id.encode()
        return b"".join(b"id: %d\ndata: %s-%d\n\n" % (n, name, n) for n in (1, 2, 3))
    return f"body of {id}".encode()
