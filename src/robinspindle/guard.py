"""Guards targets against requests that crash them: what one gateway sees and decides.

The evidence is `core.crashes`, the judgement `core.crashcauses`, and the list of what
is rejected `core.quarantine`. Here are the runs in progress, and the check before a
request is sent. Whole requests and parts of prompts go the same way.
"""

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from robinspindle.core import crashes, quarantine
from robinspindle.core.causes import Cause, is_affected
from robinspindle.core.crashcauses import (
    MIN_CRASHES,
    Verdicts,
    is_cleared,
    judge,
)
from robinspindle.core.crashes import Crash, CrashedRun, Evidence
from robinspindle.core.crashupdates import PendingUpdates
from robinspindle.core.fingerprints import Fingerprint, FingerprintedRequest
from robinspindle.core.forwarding import Refusal
from robinspindle.core.quarantine import Entry, Quarantine, Standing
from robinspindle.core.retransmission import start_sending
from robinspindle.core.targets import Directory
from robinspindle.crashlog import CrashLog
from robinspindle.crashwatch import CrashWatch, Run
from robinspindle.logs import Log
from robinspindle.recentanswers import RecentAnswer, RecentAnswers

REASON = "crashes-targets"
"""Why a request is rejected, in answers, logs and metrics."""

MAX_REMEMBERED_BODY_BYTES = 4096
"""Longer bodies are not hashed to remember a success, bytes, unless a request with the
same head hash is suspected: hashing them delays other requests."""

MAX_REMEMBERED_PARTS = 64
"""The same for the parts of longer prompts: each part is hashed."""

MAX_VERDICT_AGE_S = 1.0
"""Maximum age of verdicts by unchanged evidence, seconds: what succeeded is established
for a limited time."""

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

MAX_RUN_KINDS = 8192
"""Kinds of runs whose usual run time is kept: more than a configuration has routes."""


def read_wall_ms() -> int:
    """Read the time of day, Unix milliseconds."""
    return time.time_ns() // 1_000_000


def make_refusal(retry_s: float, cause: Cause) -> Refusal:
    """Refuse a request that did not run, and say when it may be retried."""
    return Refusal(503, REASON, retry_s, cause.fingerprint.hex())


@dataclass
class Guard:
    """What one gateway knows of crashes, and of what causes them.

    Attributes:
        directory: The targets.
        clock: Tells the present time, monotonic seconds.
        log: Takes log lines.
        find_place: Finds this gateway's place in the order of gateways for a
            fingerprint: the first gives it a trial.
        wake: Called when there are updates for the peers, so that they are sent after
            the least interval of datagrams rather than the longest.
        wall_ms: Tells the time of day, Unix milliseconds.
        evidence: The crashes, and what was running there.
        quarantine: What is rejected.
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
        self._answers = RecentAnswers()
        self._verdicts = Verdicts()
        # By which evidence and quarantine those were made, and when.
        self._judged_by: tuple[int, int] = (0, 0)
        self._judged_at = -math.inf
        # When each probable cause is quarantined, monotonic seconds.
        self._accused: dict[Cause, float] = {}
        self._lines = CrashLog(self.log)
        self._usual_s: dict[str, float] = {}

    # Asked before a request is sent.

    def find_refusal(self, named: FingerprintedRequest) -> Refusal | None:
        """Find why a request must not be sent; None where it may be."""
        if named.is_trial:
            return None
        entries = quarantine.list_matching(self.quarantine, named)
        if entries:
            return self._judge_quarantined(named, entries)
        return self._find_suspicion(named)

    def _find_suspicion(self, named: FingerprintedRequest) -> Refusal | None:
        """Find why a request that isn't quarantined must not be sent now."""
        if not self.evidence.crashes_by_suspect:
            return None
        verdicts = self._read_verdicts()
        for cause in verdicts.causes:
            if is_affected(named, cause):
                return make_refusal(HELD_BACK_RETRY_S, cause)
        for suspect in self._list_suspected(named):
            if self._runs_elsewhere(named, suspect):
                return make_refusal(HELD_BACK_RETRY_S, Cause(suspect))
        return None

    def peek_refusal(self, named: FingerprintedRequest) -> Refusal | None:
        """Find the same of a request that is not sent: it begins no trial.

        What is known of crashes is judged if that is due, as at each `settle`.
        """
        entries = quarantine.list_matching(self.quarantine, named)
        if not entries:
            return self._find_suspicion(named)
        now_ms = self.wall_ms()
        may_try = all(self._may_try(entry, now_ms) for entry in entries)
        return None if may_try else _refuse_quarantined(entries, now_ms)

    def is_suspected(self, named: FingerprintedRequest) -> bool:
        """Whether one more crash may show that a request causes them."""
        return bool(self._list_suspected(named))

    def list_avoided(self, named: FingerprintedRequest) -> set[str]:
        """List lifetimes at which a suspected request had better not run.

        Others that are suspected run there: were the target to crash, nobody could
        tell which of them it was.
        """
        if not self._list_suspected(named):
            return set()
        return {
            run.target.announced.lifetime
            for run in self.runs.under_way
            if run.named.request is not named.request
            and self._list_suspected(run.named)
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
        """Record a whole answer; it counts once its target has lived on."""
        self.note_run_time(run)
        self._answers.add(run, self.clock())

    def note_own_crash(self, run: Run, at: float) -> None:
        """Take note that a target crashed under a run of this gateway."""
        announced, named = run.target.announced, run.named
        crashed = self._describe_run(run, at)
        runs = {named.fingerprint: crashed}
        crash = Crash(announced.lifetime, announced.service, at, runs)
        if not crashes.note_crash(self.evidence, crash, at):
            return
        start_sending(self.pending_updates.crashes, announced.lifetime, at)
        self.wake()
        self.pending_updates.own_runs.setdefault(announced.lifetime, {}).update(runs)
        self._lines.keep_names(named)
        met = crashes.count_crashes(self.evidence, named.fingerprint)
        self._lines.log_crash(run, at, met)
        self._note_answers_before(announced.lifetime, at)
        self._judge_soon(crash)

    # Told by peers and by the store.

    def take_crash(self, crash: Crash) -> None:
        """Apply a crash that a peer reports."""
        if not crashes.note_crash(self.evidence, crash, self.clock()):
            return
        self._note_answers_before(crash.lifetime, crash.at)
        self._tell_established(crash)
        self._judge_soon(crash)

    def take_cleared(self, fingerprint: Fingerprint, at: float) -> None:
        """Apply a success at a peer of what is suspected."""
        crashes.note_success(self.evidence, fingerprint, at)

    def merge_entry(self, entry: Entry) -> None:
        """Apply what a peer or the store says of a request."""
        if not quarantine.merge_entry(self.quarantine, entry):
            return
        self._lines.log_entry(entry, "told")
        if entry.standing is Standing.QUARANTINED:
            self._stop_waiting(entry.cause)
        else:
            for fingerprint in entry.cause.members:
                crashes.discard_evidence(self.evidence, fingerprint)

    # Done from time to time.

    def settle(self, now: float) -> None:
        """Judge what has had time to settle, and forget what is too old."""
        self.runs.forget_pending(now)
        for answer in self._answers.take_confirmed(now):
            self._clear(answer)
        if not self.evidence.crashes:
            return
        self._clear_survivors()
        self._read_verdicts()
        due = [cause for cause, at in self._accused.items() if now >= at]
        for cause in due:
            self._quarantine(cause)

    # Judgement.

    def _read_verdicts(self) -> Verdicts:
        """Read the verdicts, made anew where the evidence has changed since."""
        now = self.clock()
        made_by = (self.evidence.revision, self.quarantine.revision)
        is_old = now - self._judged_at >= MAX_VERDICT_AGE_S
        if is_old or made_by != self._judged_by:
            known = [e.cause for e in quarantine.list_quarantined(self.quarantine)]
            self._judged_by, self._judged_at = made_by, now
            self._verdicts = judge(self.evidence, known, self._count_targets, now)
            self._note_causes(self._verdicts.causes)
            self._withdraw_verdicts()
        return self._verdicts

    def _judge_soon(self, crash: Crash) -> None:
        """Judge at once where a crash may be the last that a verdict needs."""
        count = crashes.count_crashes
        found = _list_contained(crash)
        if any(count(self.evidence, one) >= MIN_CRASHES for one in found):
            self._read_verdicts()

    def _note_causes(self, causes: Iterable[Cause]) -> None:
        """Break off what waits with a new probable cause; quarantine it later."""
        before = self._accused
        self._accused = {
            cause: before.get(cause) or self._find_judging_at(cause) for cause in causes
        }
        for cause in self._accused.keys() - before.keys():
            self._stop_waiting(cause)

    def _find_judging_at(self, cause: Cause) -> float:
        """Find when this gateway quarantines a probable cause, monotonic seconds."""
        if self._lines.has_seen(cause.fingerprint):
            return self.clock() + COMPANIONS_WAIT_S
        place = self.find_place(cause.fingerprint)
        return self.clock() + PEER_JUDGEMENT_WAIT_S * (1 + place)

    def _count_targets(self, service: str) -> int:
        known = self.directory.targets.values()
        return sum(target.announced.service == service for target in known)

    def _quarantine(self, cause: Cause) -> None:
        """Reject a cause from now on, unless its entry has all of its crashes."""
        lifetimes = self.evidence.crashes_by_suspect[cause.fingerprint]
        known = self.quarantine.entries.get(cause.fingerprint)
        is_known = known is not None and known.standing is Standing.QUARANTINED
        is_same = is_known and known.cause == cause
        if is_same and not quarantine.adds_crashes(known, lifetimes):
            return
        name = self._lines.find_name(cause)
        entry = quarantine.make_entry(cause, lifetimes, name, self.wall_ms())
        if is_known:
            entry = replace(entry, trials=known.trials)
        self._say(quarantine.supersede(known, entry), "judged")

    def _withdraw_verdicts(self) -> None:
        """Release what is known by now not to have caused its crashes."""
        entries = quarantine.list_quarantined(self.quarantine)
        for entry in entries:
            others = [one.cause for one in entries if one is not entry]
            if is_cleared(
                self.evidence,
                entry.cause,
                entry.lifetimes,
                others,
                self._count_targets,
            ):
                self._say(quarantine.release(entry, self.wall_ms()), "cleared")
                # What is left explains less than before.
                return

    def _judge_quarantined(
        self, named: FingerprintedRequest, entries: list[Entry]
    ) -> Refusal | None:
        """Refuse what is in quarantine, unless a trial is due and ours to give."""
        now_ms = self.wall_ms()
        if all(self._may_try(entry, now_ms) for entry in entries):
            named.is_trial = True
            for entry in entries:
                self._say(quarantine.begin_trial(entry, now_ms), "trial")
            return None
        return _refuse_quarantined(entries, now_ms)

    def _may_try(self, entry: Entry, now_ms: int) -> bool:
        is_due = quarantine.may_try(entry, now_ms)
        return is_due and self.find_place(entry.fingerprint) == 0

    def _list_suspected(self, named: FingerprintedRequest) -> list[Fingerprint]:
        """List the fingerprints of a request that one more crash may condemn."""
        if not self.evidence.crashes_by_suspect:
            return []
        suspected = self._read_verdicts().suspected
        found = named.list_known(self.evidence.head_hashes, suspected)
        # What has just succeeded is probably cleared in a moment.
        return [one for one in found if not self._answers.has(one)]

    def _runs_elsewhere(
        self, named: FingerprintedRequest, suspect: Fingerprint
    ) -> bool:
        """Whether another request with a suspected fingerprint is under way already."""
        return any(
            run.named is not named and run.named.has(suspect)
            for run in self.runs.under_way
        )

    # What clears.

    def _clear(self, answer: RecentAnswer) -> None:
        """Clear all that a request contains whose target has lived on."""
        named = answer.run.named
        cleared = []
        is_short = named.body_bytes <= MAX_REMEMBERED_BODY_BYTES
        if is_short or self._is_head_known(named.head_hash):
            cleared.append(named.fingerprint)
        if named.request.prompt is not None:
            is_short = len(named.request.prompt.parts) <= MAX_REMEMBERED_PARTS
            if is_short or self._is_head_known(named.part_head):
                cleared += named.parts
        self._note_cleared(cleared, answer.at)
        for entry in quarantine.list_matching(self.quarantine, named):
            self._say(quarantine.release(entry, self.wall_ms()), "ran well")

    def _is_head_known(self, head: bytes) -> bool:
        """Whether anything suspected or quarantined starts with a head hash."""
        return head in self.evidence.head_hashes or head in self.quarantine.head_hashes

    def _clear_survivors(self) -> None:
        """Clear what answers contain whose targets have long lived under them."""
        for run in self.runs.under_way:
            lived_s = _find_lived_s(run)
            if lived_s < crashes.MIN_SURVIVAL_S:
                continue
            suspects = run.named.list_known(
                self.evidence.head_hashes, self.evidence.crashes_by_suspect
            )
            survived = [
                suspect
                for suspect in suspects
                if lived_s >= crashes.find_survival_s(self.evidence, suspect)
            ]
            self._note_cleared(survived, run.target.liveness.heard_at)

    def _note_cleared(self, fingerprints: Iterable[Fingerprint], at: float) -> None:
        for fingerprint in fingerprints:
            if crashes.note_success(self.evidence, fingerprint, at):
                start_sending(self.pending_updates.cleared, fingerprint, self.clock())
                self.wake()

    def _tell_established(self, crash: Crash) -> None:
        """Tell the peers what succeeded here lately of what was running at a crash."""
        now = self.clock()
        for fingerprint in _list_contained(crash):
            if crashes.is_established(self.evidence, fingerprint, now):
                start_sending(self.pending_updates.cleared, fingerprint, now)
                self.wake()

    # Inside.

    def _describe_run(self, run: Run, at: float) -> CrashedRun:
        usual_s = self._usual_s.get(run.kind, 0.0)
        wrote_s = 0.0 if run.began_at is None else max(0.0, at - run.began_at)
        parts = crashes.choose_parts(self.evidence, run.named.parts, at)
        return CrashedRun(max(usual_s, at - run.since), wrote_s, parts)

    def _note_answers_before(self, lifetime: str, at: float) -> None:
        """Take note of the answers that a target ended just before it crashed."""
        for answer in self._answers.take_crashed(lifetime, at):
            self.note_own_crash(answer.run, at)

    def _say(self, entry: Entry, why: str) -> None:
        """Apply an entry of this gateway, and send it to the peers."""
        if not quarantine.merge_own_entry(self.quarantine, entry):
            return
        self._lines.log_entry(entry, why)
        start_sending(self.pending_updates.entries, entry.fingerprint, self.clock())
        self.wake()
        if entry.standing is Standing.QUARANTINED and why != "trial":
            self._stop_waiting(entry.cause)

    def _stop_waiting(self, cause: Cause) -> None:
        """Break off what waits at targets and would crash them next."""
        for run in list(self.runs.under_way):
            if run.stop is not None and is_affected(run.named, cause):
                run.stop()


def _find_lived_s(run: Run) -> float:
    """Find how long a target is known to have lived since its answer began, seconds."""
    if run.began_at is None:
        return 0.0
    return run.target.liveness.heard_at - run.began_at


def _list_contained(crash: Crash) -> set[Fingerprint]:
    """List all fingerprints that were running at a crash."""
    parts = (run.parts for run in crash.runs.values())
    return set(crash.runs).union(*parts)


def _refuse_quarantined(entries: list[Entry], now_ms: int) -> Refusal:
    last = max(entries, key=lambda e: quarantine.find_retry_s(e, now_ms))
    retry_s = quarantine.find_retry_s(last, now_ms)
    return make_refusal(max(HELD_BACK_RETRY_S, retry_s), last.cause)
