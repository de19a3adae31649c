"""Keys of workspaces and reports of usage, judged from outside."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from soak.oracle import Oracle
from standins.dutyapi import DutyApi

WORKSPACES = 4
KEYS_EACH = 2
REVOKE_S = 3.0
APPLY_S = 2.0
WINDOW_S = 2.0
LATE_S = 6.0
LEASE_S = 1.0
UNAUTHORIZED = 401
SLACK_S = 0.5
"""How long after a freeze or a cut a gateway's calls are not judged, and how long a
report may take to be noted, seconds."""

REPORT_POLL_S = 0.05
"""Time between two looks at what the platform took, seconds."""

BOUNDS = f"""RevokeStrict = true
RevokeMs = {REVOKE_S * 1000:.0f}
ConfigApplyMs = {APPLY_S * 1000:.0f}
ReportWindowS = {WINDOW_S}
UsageLateS = {LATE_S}
"""


@dataclass
class KeyAccount:
    """The keys of all workspaces, and what became of requests with them.

    Attributes:
        oracle: Takes findings.
        rng: Draws keys.
        api: Where gateways report usage.
        owners: The workspace of each key that was ever given.
        held: The keys that are in force.
        given_at: When each was given, monotonic seconds.
        taken_at: When each was taken away.
        sent: Key and time of each request.
    """

    oracle: Oracle
    rng: random.Random
    api: DutyApi = field(default_factory=DutyApi)
    owners: dict[str, str] = field(default_factory=dict)
    held: set[str] = field(default_factory=set)
    given_at: dict[str, float] = field(default_factory=dict)
    taken_at: dict[str, float] = field(default_factory=dict)
    sent: dict[str, tuple[str, float]] = field(default_factory=dict)

    def __post_init__(self):
        for number in range(WORKSPACES * KEYS_EACH):
            self._make_key(f"w{number % WORKSPACES}")

    def describe(self) -> list[dict]:
        """Describe the workspaces as a configuration does."""
        found: dict[str, list[str]] = {f"w{n}": [] for n in range(WORKSPACES)}
        for key in sorted(self.held):
            found[self.owners[key]].append(key)
        return [{"Name": name, "ApiKeys": keys} for name, keys in found.items()]

    def exchange(self) -> str:
        """Give a key in the place of another; returns the one that is to go."""
        gone = self.rng.choice(sorted(self.held))
        self.held.discard(gone)
        self._make_key(self.owners[gone])
        return gone

    def note_acknowledged(self, gone: str) -> None:
        """Take note that the store has taken the configuration without a key."""
        self.taken_at[gone] = time.monotonic()
        for key in self.held:
            self.given_at.setdefault(key, time.monotonic())

    def choose_key(self, id: str) -> str:
        """Choose any key that was ever given for a request."""
        key = self.rng.choice(sorted(self.owners))
        self.sent[id] = (key, time.monotonic())
        return key

    def note_run(self, id: str, headers: dict[str, str]) -> None:
        """Judge a request that a replica runs."""
        key, sent_at = self.sent.get(id, ("", 0.0))
        if "authorization" in headers:
            self.oracle.findings.append(f"{id}: its key reached a replica")
        if headers.get("x-tenant") != self.owners.get(key):
            self.oracle.findings.append(f"{id}: runs for another workspace")
        taken_at = self.taken_at.get(key)
        if taken_at is not None and sent_at > taken_at + REVOKE_S:
            late_s = sent_at - taken_at
            self.oracle.findings.append(f"{id}: its key was gone for {late_s:.2f} s")

    def note_status(self, id: str, status: int) -> None:
        """Judge an answer: a key that was given in time is unknown to nobody."""
        key, sent_at = self.sent.get(id, ("", 0.0))
        given_at = self.given_at.get(key)
        if status != UNAUTHORIZED or given_at is None or key in self.taken_at:
            return
        if sent_at > given_at + APPLY_S:
            self.oracle.findings.append(f"{id}: its key was called unknown")

    async def await_report(self) -> None:
        """Wait until a window is reported that lies wholly after now, or is overdue.

        Where nothing is wrong any more every window is reported in time. A soak that
        ends before one is due says nothing of reports.
        """
        window = int(time.time() // WINDOW_S) + 1
        due_s = (window + 1) * WINDOW_S + LATE_S + SLACK_S
        while not any(report.window == window for report in self.api.reports):
            if time.time() > due_s:
                self.oracle.findings.append(f"window {window} is not reported in time")
                return
            await asyncio.sleep(REPORT_POLL_S)

    def check_reports(self) -> None:
        """Judge all reports that the platform took."""
        values: dict[int, dict[str, int]] = {}
        holders: dict[int, str] = {}
        for report in self.api.reports:
            if values.setdefault(report.window, report.counts) != report.counts:
                self.oracle.findings.append(f"window {report.window}: two values")
            if holders.setdefault(report.fence, report.holder) != report.holder:
                self.oracle.findings.append(f"fence {report.fence}: two holders")
        if not values:
            self.oracle.findings.append("no window was reported")

    def _make_key(self, workspace: str) -> None:
        key = f"key-{len(self.owners)}-{self.rng.randrange(1 << 30):x}"
        self.owners[key] = workspace
        self.held.add(key)
