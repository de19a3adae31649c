"""Guards targets against requests that crash them: what one gateway sees and decides.

The evidence and the judgement are `core.crashes`; the list of rejected requests is
`core.quarantine`. Here are the runs in progress, and the check before a request is
sent.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from robinspindle.core import crashes, quarantine
from robinspindle.core.crashes import Crash, Evidence
from robinspindle.core.crashupdates import PendingUpdates
from robinspindle.core.fingerprints import (
    Fingerprint,
    FingerprintedRequest,
    get_head_hash,
)
from robinspindle.core.forwarding import Prompt, Refusal
from robinspindle.core.quarantine import Entry, Quarantine, Standing
from robinspindle.core.retransmission import start_sending
from robinspindle.core.targets import Directory
from robinspindle.crashwatch import CrashWatch, Run
from robinspindle.logs import Log

REASON = "crashes-targets"
"""Why a request is rejected, in answers, logs and metrics."""

MAX_REMEMBERED_BODY_BYTES = 4096
"""Longer bodies are not hashed to remember a success, bytes, unless a request with the
same head hash is suspected: hashing them delays other requests."""

COMPANIONS_WAIT_S = 0.3
"""How long the other requests that were running at a crash are waited for before a
judgement is sent to all and stored, seconds: peers report theirs within this time.
Until then the request is held back."""

PEER_JUDGEMENT_WAIT_S = 2.0
"""How long a gateway that observed none of the crashes waits for the judgement of one
that did, seconds; then it judges itself, one gateway after the other, so that they
don't all write to the store at once."""

HELD_BACK_RETRY_S = 0.5
"""When a request that is held back may be retried, seconds: it is judged by then."""

RUN_TIME_SMOOTHING = 0.05
"""Weight of the newest run in the usual run time of its kind: about the last 20
count."""

MAX_LOGGED_PARTS = 16
MAX_LOGGED_ID = 40
"""Maximum number of prompt parts, and characters of each id, in a log line."""

MAX_RUN_KINDS = 8192
"""Kinds of runs whose usual run time is kept: more than a configuration has routes."""


def read_wall_ms() -> int:
    """Read the time of day, Unix milliseconds."""
    return time.time_ns() // 1_000_000


def make_refusal(retry_s: float) -> Refusal:
    """Refuse a request that did not run, and say when it may be retried."""
    return Refusal(503, REASON, retry_s)


@dataclass
class Guard:
    """What one gateway knows of crashes, and of requests that cause them.

    Attributes:
        directory: The targets.
        clock: Tells the present time, monotonic seconds.
        log: Takes log lines.
        find_place: Finds this gateway's place in the order of gateways for a request:
            the first gives it a trial.
        wake: Called when there are updates for the peers, so that they are sent after
            the least interval of datagrams rather than the longest.
        wall_ms: Tells the time of day, Unix milliseconds.
        evidence: The crashes, and the requests that were running at them.
        quarantine: The requests that are rejected.
        pending_updates: What is sent to the peers.
    """

    directory: Directory
    clock: Callable[[], float]
    log: Log
    find_place: Callable[[Fingerprint], int] = lambda fingerprint: 0
    wake: Callable[[], None] = lambda: None
    wall_ms: Callable[[], int] = read_wall_ms
    evidence: Evidence = field(default_factory=Evidence)
    quarantine: Quarantine = field(default_factory=Quarantine)
    pending_updates: PendingUpdates = field(default_factory=PendingUpdates)

    def __post_init__(self):
        self.runs = CrashWatch(self.directory, self.clock, self.note_own_crash)
        # When each request that was running at three crashes is judged, monotonic
        # seconds.
        self._unjudged: dict[Fingerprint, float] = {}
        # Host and path of those that were running at a crash at this gateway.
        self._names: dict[Fingerprint, str] = {}
        self._usual_s: dict[str, float] = {}

    # Asked before a request is sent.

    def find_refusal(self, named: FingerprintedRequest) -> Refusal | None:
        """Find why a request must not be sent; None where it may be."""
        if named.is_trial:
            return None
        if (
            self.quarantine.head_hashes
            and named.head_hash in self.quarantine.head_hashes
        ):
            entry = quarantine.find_quarantined(self.quarantine, named.fingerprint)
            if entry is not None:
                return self._judge_quarantined(named, entry)
        if self.evidence.head_hashes and named.head_hash in self.evidence.head_hashes:
            if self._is_guilty(named.fingerprint):
                return make_refusal(HELD_BACK_RETRY_S)
            if self._runs_elsewhere(named):
                return make_refusal(HELD_BACK_RETRY_S)
        return None

    def list_avoided(self, named: FingerprintedRequest) -> set[str]:
        """List lifetimes at which a suspected request had better not run.

        Others that are suspected run there: were the target to crash, nobody could
        tell which of them it was.
        """
        if not self._is_suspected(named):
            return set()
        return {
            run.target.announced.lifetime
            for run in self.runs.under_way
            if run.named.request is not named.request and self._is_suspected(run.named)
        }

    # Told while a request is under way.

    def note_run_time(self, run: Run) -> None:
        """Record how long a run took that came to its end."""
        seconds = self.clock() - run.since
        usual_s = self._usual_s.setdefault(run.kind, seconds)
        self._usual_s[run.kind] = usual_s + RUN_TIME_SMOOTHING * (seconds - usual_s)
        while len(self._usual_s) > MAX_RUN_KINDS:
            del self._usual_s[next(iter(self._usual_s))]

    def note_success(self, run: Run) -> None:
        """Record the success of a request."""
        self.note_run_time(run)
        named = run.named
        is_long = len(named.request.body) > MAX_REMEMBERED_BODY_BYTES
        if is_long and named.head_hash not in self.evidence.head_hashes:
            return
        self._clear(named.fingerprint)

    # Told by peers and by the store.

    def take_crash(self, crash: Crash) -> None:
        """Apply a crash that a peer reports."""
        if crashes.note_crash(self.evidence, crash, self.clock()):
            self._judge_all(crash.runs)

    def take_cleared(self, fingerprint: Fingerprint) -> None:
        """Apply the success of a suspected request at a peer."""
        crashes.note_success(self.evidence, fingerprint, self.clock())

    def merge_entry(self, entry: Entry) -> None:
        """Apply what a peer or the store says of a request."""
        if not quarantine.merge_entry(self.quarantine, entry):
            return
        self._log_entry(entry, "told")
        if entry.standing is Standing.QUARANTINED:
            self._stop_copies(entry.fingerprint)
        else:
            crashes.discard_evidence(self.evidence, entry.fingerprint)

    # Done from time to time.

    def settle(self, now: float) -> None:
        """Judge what has had time to settle, and forget what is too old."""
        self.runs.forget_pending(now)
        settled = [f for f, at in self._unjudged.items() if now >= at]
        for fingerprint in settled:
            del self._unjudged[fingerprint]
            if self._is_guilty(fingerprint):
                self._quarantine(fingerprint)

    # Inside.

    def _judge_quarantined(
        self, named: FingerprintedRequest, entry: Entry
    ) -> Refusal | None:
        """Refuse what is in quarantine, unless a trial is due and ours to give."""
        now_ms = self.wall_ms()
        is_due = quarantine.may_try(entry, now_ms)
        if is_due and self.find_place(entry.fingerprint) == 0:
            named.is_trial = True
            self._say(quarantine.begin_trial(entry, now_ms), "trial")
            return None
        return make_refusal(
            max(HELD_BACK_RETRY_S, quarantine.find_retry_s(entry, now_ms))
        )

    def _is_suspected(self, named: FingerprintedRequest) -> bool:
        if named.head_hash not in self.evidence.head_hashes:
            return False
        return crashes.is_suspected(self.evidence, named.fingerprint)

    def _is_guilty(self, fingerprint: Fingerprint) -> bool:
        met = crashes.count_crashes(self.evidence, fingerprint)
        if met < crashes.MIN_CRASHES:
            return False
        guilty = [e.fingerprint for e in quarantine.list_quarantined(self.quarantine)]
        count = self._count_targets(fingerprint)
        return crashes.is_probable_cause(self.evidence, fingerprint, guilty, count)

    def _count_targets(self, fingerprint: Fingerprint) -> int:
        service = crashes.find_service(self.evidence, fingerprint)
        known = self.directory.targets.values()
        return sum(target.announced.service == service for target in known)

    def _runs_elsewhere(self, named: FingerprintedRequest) -> bool:
        """Whether a copy of a suspected request is under way already."""
        return self._is_suspected(named) and any(
            run.named is not named and _is_same(run.named, named.fingerprint)
            for run in self.runs.under_way
        )

    def note_own_crash(self, run: Run, at: float) -> None:
        """Take note that a target crashed under a run of this gateway."""
        announced, named = run.target.announced, run.named
        usual_s = self._usual_s.get(run.kind, 0.0)
        runs = {named.fingerprint: max(usual_s, at - run.since)}
        crash = Crash(announced.lifetime, announced.service, at, runs)
        if not crashes.note_crash(self.evidence, crash, at):
            return
        start_sending(self.pending_updates.crashes, announced.lifetime, at)
        self.wake()
        self.pending_updates.own_runs.setdefault(announced.lifetime, {}).update(runs)
        self._names[named.fingerprint] = f"{named.request.host}{named.request.path}"
        while len(self._names) > crashes.MAX_REQUESTS:
            del self._names[next(iter(self._names))]
        self.log(
            "target crashed under a request",
            at=round(at, 4),
            target=announced.lifetime,
            request=named.request.id,
            fingerprint=named.fingerprint.hex(),
            ran_ms=round((at - run.since) * 1000),
            wrote_ms=_find_ms_since(run.began_at, at),
            parts=_list_shared_ids(named.request.prompt),
            crashes_met=crashes.count_crashes(self.evidence, named.fingerprint),
        )
        self._judge_all(runs)

    def _judge_all(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Hold back who is guilty by what is known, and judge them finally later."""
        for fingerprint in fingerprints:
            if crashes.count_crashes(self.evidence, fingerprint) >= crashes.MIN_CRASHES:
                self._unjudged[fingerprint] = self._find_judging_at(fingerprint)
                if self._is_guilty(fingerprint):
                    self._stop_copies(fingerprint)

    def _find_judging_at(self, fingerprint: Fingerprint) -> float:
        """Find when this gateway judges a request, monotonic seconds."""
        if fingerprint in self._names:
            return self.clock() + COMPANIONS_WAIT_S
        return self.clock() + PEER_JUDGEMENT_WAIT_S * (1 + self.find_place(fingerprint))

    def _quarantine(self, fingerprint: Fingerprint) -> None:
        """Reject a request from now on, unless its entry has all of its crashes."""
        lifetimes = self.evidence.crashes_by_request[fingerprint]
        known = self.quarantine.entries.get(fingerprint)
        is_known = known is not None and known.standing is Standing.QUARANTINED
        if is_known and not quarantine.adds_crashes(known, lifetimes):
            return
        name = self._names.get(fingerprint, "")
        entry = quarantine.make_entry(fingerprint, lifetimes, name, self.wall_ms())
        if is_known:
            entry = replace(entry, trials=known.trials)
        self._say(quarantine.supersede(known, entry), "judged")

    def _clear(self, fingerprint: Fingerprint) -> None:
        now = self.clock()
        if crashes.note_success(self.evidence, fingerprint, now):
            start_sending(self.pending_updates.cleared, fingerprint, now)
            self.wake()
        entry = quarantine.find_quarantined(self.quarantine, fingerprint)
        if entry is not None:
            self._say(quarantine.release(entry, self.wall_ms()), "ran well")

    def _say(self, entry: Entry, why: str) -> None:
        """Apply an entry of this gateway, and send it to the peers."""
        if not quarantine.merge_own_entry(self.quarantine, entry):
            return
        self._log_entry(entry, why)
        start_sending(self.pending_updates.entries, entry.fingerprint, self.clock())
        self.wake()
        if entry.standing is Standing.QUARANTINED and why != "trial":
            self._stop_copies(entry.fingerprint)

    def _stop_copies(self, fingerprint: Fingerprint) -> None:
        """Break off what waits at targets and would crash them next."""
        for run in list(self.runs.under_way):
            if run.stop is not None and _is_same(run.named, fingerprint):
                run.stop()

    def _log_entry(self, entry: Entry, why: str) -> None:
        self.log(
            "request " + entry.standing.value,
            fingerprint=entry.fingerprint.hex(),
            why=why,
            name=entry.name,
            crashed=list(entry.lifetimes),
            trials=entry.trials,
        )


def _find_ms_since(since: float | None, at: float) -> int | None:
    return None if since is None else round((at - since) * 1000)


def _list_shared_ids(prompt: Prompt | None) -> list[str]:
    """List the ids of the parts that a prompt may share with others, for logs."""
    if prompt is None:
        return []
    return [part.id[:MAX_LOGGED_ID] for part in prompt.parts[:-1][:MAX_LOGGED_PARTS]]


def _is_same(named: FingerprintedRequest, fingerprint: Fingerprint) -> bool:
    """Whether a request has a fingerprint; hashes its body only if the head agrees."""
    return (
        named.head_hash == get_head_hash(fingerprint)
        and named.fingerprint == fingerprint
    )
