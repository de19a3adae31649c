"""Decides which targets may get new work, from several kinds of evidence.

The platform's list lags and omits targets, so it is never the only evidence against a
target that answers.
"""

from dataclasses import dataclass

from robinspindle.messages import Report

FAILURES_BEFORE_BACKOFF = 3
"""Consecutive failed runs that eject a target."""

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
"""First and longest ejection, seconds; it doubles with each further failure."""


@dataclass
class Evidence:
    """What one entry knows of one target.

    Attributes:
        heard_at: Time when a message last came from its agent, monotonic seconds; None
            for never.
        hello_sent_at: Time when the last Hello was sent to it, monotonic seconds.
        report: Its last report.
        prefixes: Digests of the prefixes in its cache, as last reported.
        prefix_version: Version number of `prefixes`.
        listed_leaving: Whether the platform's list says that its VM is leaving.
        failures: Consecutive runs that failed.
        backoff_until: End of its ejection after failures, monotonic seconds.
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
    """Record a report."""
    last = evidence.report
    evidence.report = report
    evidence.heard_at = now
    if last is not None and last.incarnation != report.incarnation:
        evidence.prefixes, evidence.prefix_version = (), 0
    if report.prefixes is not None:
        evidence.prefixes = report.prefixes
        evidence.prefix_version = report.prefix_version


def note_failure(evidence: Evidence, now: float) -> None:
    """Record a run that failed at the target."""
    evidence.failures += 1
    if evidence.failures >= FAILURES_BEFORE_BACKOFF:
        doublings = evidence.failures - FAILURES_BEFORE_BACKOFF
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**doublings)
        evidence.backoff_until = now + backoff_s


def note_success(evidence: Evidence) -> None:
    """Record a run that completed at the target."""
    evidence.failures = 0
    evidence.backoff_until = 0.0


def note_process_pause(evidence: Evidence, now: float, paused_s: float) -> None:
    """Record that this process was paused and could receive nothing.

    Args:
        evidence: What is known of the target.
        now: The current time, at which the pause has just ended, monotonic seconds.
        paused_s: Duration of the pause, seconds.
    """
    if evidence.heard_at is not None:
        evidence.heard_at = min(now, evidence.heard_at + paused_s)


def may_get_work(evidence: Evidence, now: float, leaving_after_s: float) -> bool:
    """Return whether a target may be offered new work.

    A target gets no more work after the first of three signals: the agent's own notice,
    the agent's timeout, or the platform's list. After an ejection it gets work again;
    one more failure ejects it for longer.

    Args:
        evidence: What is known of the target.
        now: The current time, monotonic seconds.
        leaving_after_s: Timeout of the agent, seconds.
    """
    report = evidence.report
    if report is None or evidence.heard_at is None:
        return False
    if report.stopping or not report.serving or evidence.listed_leaving:
        return False
    if now - evidence.heard_at > leaving_after_s:
        return False
    return now >= evidence.backoff_until
