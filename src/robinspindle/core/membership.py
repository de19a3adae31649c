"""Which targets may get new work, from several kinds of evidence.

The platform's list lags and lies by omission, so it is never the only evidence
against a target that answers.
"""

from dataclasses import dataclass

from robinspindle.messages import Report

SUSPECT_FAILURES = 3
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0


@dataclass
class Evidence:
    """What one entry knows of one target.

    Attributes:
        heard_at: When its agent was last heard, None for never.
        hello_sent_at: When it was last greeted.
        report: The last report.
        prefixes: Digests of prefixes in its cache, as last told.
        prefix_version: Number of that list.
        listed_leaving: Whether the platform's list names its VM as leaving.
        failures: Runs that broke off in a row.
        backoff_until: Until when it is put aside for its failures.
    """

    heard_at: float | None = None
    hello_sent_at: float = 0.0
    report: Report | None = None
    prefixes: tuple[str, ...] = ()
    prefix_version: int = 0
    listed_leaving: bool = False
    failures: int = 0
    backoff_until: float = 0.0


def note_report(evidence: Evidence, now: float, report: Report) -> None:
    """Take note of a report."""
    last = evidence.report
    evidence.report = report
    evidence.heard_at = now
    if last is not None and last.incarnation != report.incarnation:
        evidence.prefixes, evidence.prefix_version = (), 0
    if report.prefixes is not None:
        evidence.prefixes = report.prefixes
        evidence.prefix_version = report.prefix_version


def note_failure(evidence: Evidence, now: float) -> None:
    """Take note of a run that broke off at the target."""
    evidence.failures += 1
    if evidence.failures >= SUSPECT_FAILURES:
        doublings = evidence.failures - SUSPECT_FAILURES
        rest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)
        evidence.backoff_until = now + rest


def note_success(evidence: Evidence) -> None:
    """Take note of a run that came to its end at the target."""
    evidence.failures = 0
    evidence.backoff_until = 0.0


def note_process_pause(evidence: Evidence, now: float, held_s: float) -> None:
    """Take note that nothing could be heard for so many seconds until now."""
    if evidence.heard_at is not None:
        evidence.heard_at = min(now, evidence.heard_at + held_s)


def may_get_work(evidence: Evidence, now: float, leaving_after_s: float) -> bool:
    """Whether a target may be offered new work.

    Whichever comes first ends it: the agent's own notice, its silence, or the
    platform's list. After a rest for failures one request at a time may try it.
    """
    report = evidence.report
    if report is None or evidence.heard_at is None:
        return False
    if report.stopping or not report.serving or evidence.listed_leaving:
        return False
    if now - evidence.heard_at > leaving_after_s:
        return False
    return now >= evidence.backoff_until
