"""What was lost to which reason, from the logs of gateways alone.

Each attempt of a caller that did not get its answer in time is put down to one reason.
Attempts are counted by route and by spans of two seconds, so that an engineer on call
sees when, for whom and why.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core.sizeclasses import find_size_class
from robinspindle.explaining import ENDED, ROUTED, UNDELIVERED, Line

SPAN_S = 2.0
"""Length of the spans, seconds: about as long as a crowd or a restart lasts."""

MISJUDGED_RATIO = 1.5
"""A reading that took longer than this many times its plan was misjudged."""

REREAD_SHARE = 0.5
"""Share of a prompt's shared parts from which on reading them again is the reason."""

IN_TIME = "in time"
WAITED = "waited"
MISJUDGED = "reading misjudged"
PAUSED = "paused"
UNBEGUN = "read, never begun"
CUT = "cut"
REFUSED = "refused"
REFUSED_AGAIN = "refused again"
TURNED_AWAY = "crashes targets"
TARGET_LOST = "target lost"
GATEWAY_LOST = "gateway lost"
REREAD = "shared parts read again"
MOVED = "moved"
SLOW = "slow target"
OWN_FAULT = "target's own fault"

NEEDED_FIELDS = ("aim_ms", "route", "outcome", "held_ms")
"""Fields without which an end can't be judged: lines of an older version lack some."""


@dataclass
class Served:
    """How many attempts of one size of prompts got their whole answer.

    Attributes:
        asked: Attempts.
        answered: Those that got it, late or in time.
        refused: Those that were refused.
    """

    asked: int = 0
    answered: int = 0
    refused: int = 0


@dataclass
class Losses:
    """What the logs say.

    Attributes:
        attempts: Attempts that were judged.
        by_route: Attempts by route and reason.
        by_size: What came of attempts with a prompt, by route and the most tokens of
            the class of its length.
        by_span: Attempts by the beginning of a span, seconds, and reason.
        planned_ratios: Real against planned times to the first event, in order.
        left_out: What could not be judged, by why.
    """

    attempts: int = 0
    by_route: dict[str, Counter[str]] = field(default_factory=dict)
    by_size: dict[tuple[str, int], Served] = field(default_factory=dict)
    by_span: dict[float, Counter[str]] = field(default_factory=dict)
    planned_ratios: list[float] = field(default_factory=list)
    left_out: Counter[str] = field(default_factory=Counter)


@dataclass
class Attempt:
    """The lines of one attempt.

    Attributes:
        routed: Its choices, in order.
        undelivered: Sendings that failed.
        ended: Its end; None where no line tells it.
    """

    routed: list[Line] = field(default_factory=list)
    undelivered: list[Line] = field(default_factory=list)
    ended: Line | None = None


def count_losses(lines: Iterable[Line]) -> Losses:
    """Put each attempt that was not served in time down to a reason.

    Args:
        lines: Lines of all gateways, in any order. Their clocks may differ by seconds,
            and so may the spans.
    """
    losses = Losses()
    attempts = _gather(lines, losses)
    begun_at = min((_find_time(a) for a in attempts.values()), default=0.0)
    for attempt in attempts.values():
        _judge_attempt(losses, attempt, begun_at)
    losses.planned_ratios.sort()
    return losses


def find_reason(attempt: Attempt) -> str:
    """Find why an attempt was not served in time; its end must be known."""
    fields = attempt.ended.fields
    outcome = str(fields["outcome"])
    if outcome == "delivered":
        return _judge_delivered(attempt)
    if outcome.startswith("refused 503"):
        if outcome.endswith("crashes-targets"):
            return TURNED_AWAY
        return REFUSED_AGAIN if fields.get("is_return") else REFUSED
    if outcome.startswith("passed on"):
        return OWN_FAULT
    if attempt.undelivered:
        return TARGET_LOST
    if outcome == "caller left":
        return _judge_left(attempt)
    # Its time ran out in the middle of the answer.
    return PAUSED if _has_paused(fields) else TARGET_LOST


def _gather(lines: Iterable[Line], losses: Losses) -> dict[str, Attempt]:
    attempts: dict[str, Attempt] = {}
    for line in lines:
        if line.text == "lines left out":
            losses.left_out["lines that a gateway left out for their number"] += 1
        if not line.request:
            continue
        if line.text == ROUTED:
            attempts.setdefault(line.request, Attempt()).routed.append(line)
        elif line.text == UNDELIVERED:
            attempts.setdefault(line.request, Attempt()).undelivered.append(line)
        elif line.text == ENDED:
            attempts.setdefault(line.request, Attempt()).ended = line
    return attempts


def _judge_attempt(losses: Losses, attempt: Attempt, begun_at: float) -> None:
    reason = _judge(losses, attempt)
    if reason is None:
        return
    losses.attempts += 1
    first = (attempt.routed or [attempt.ended])[0]
    route = str(first.fields.get("route", "?"))
    span = (_find_time(attempt) - begun_at) // SPAN_S * SPAN_S
    losses.by_route.setdefault(route, Counter())[reason] += 1
    losses.by_span.setdefault(span, Counter())[reason] += 1
    _count_size(losses, attempt, route)


def _count_size(losses: Losses, attempt: Attempt, route: str) -> None:
    lines = [*attempt.routed, *([attempt.ended] if attempt.ended else [])]
    tokens = next((line.fields.get("prompt_length") for line in lines), None)
    if not isinstance(tokens, int):
        return
    key = route, find_size_class(tokens)
    served = losses.by_size.setdefault(key, Served())
    outcome = str(attempt.ended.fields["outcome"]) if attempt.ended else ""
    served.asked += 1
    served.answered += outcome == "delivered"
    served.refused += outcome.startswith("refused")


def _judge(losses: Losses, attempt: Attempt) -> str | None:
    """Judge one attempt; None where it has to be left out."""
    if attempt.ended is None:
        if attempt.routed:
            return GATEWAY_LOST
        losses.left_out["attempts of which only a failed sending is told"] += 1
        return None
    fields = attempt.ended.fields
    if any(name not in fields for name in NEEDED_FIELDS):
        losses.left_out["ends of another version, without a field needed"] += 1
        return None
    first, planned = fields.get("first_ms"), fields.get("planned_ms")
    if first and planned:
        losses.planned_ratios.append(float(first) / float(planned))
    return find_reason(attempt)


def _judge_delivered(attempt: Attempt) -> str:
    fields = attempt.ended.fields
    answered_ms = fields.get("first_ms") if fields.get("events") else fields["held_ms"]
    if (answered_ms or 0.0) > fields["aim_ms"]:
        return _judge_first(attempt)
    return PAUSED if _has_paused(fields) else IN_TIME


def _judge_left(attempt: Attempt) -> str:
    """Judge what an attempt waited for when its caller left."""
    fields = attempt.ended.fields
    if fields.get("events"):
        return PAUSED if _has_paused(fields) else CUT
    was_read = fields.get("read_ms") is not None
    return UNBEGUN if was_read else _judge_first(attempt)


def _judge_first(attempt: Attempt) -> str:
    """Judge why the first of an answer came late, or not at all."""
    fields = attempt.ended.fields
    if attempt.undelivered or len(attempt.routed) > 1:
        return TARGET_LOST if attempt.undelivered else MOVED
    planned_ms = fields.get("planned_ms") or 0.0
    if not planned_ms:
        return SLOW
    taken_ms = fields.get("first_ms") or fields["held_ms"]
    if taken_ms > MISJUDGED_RATIO * planned_ms:
        return MISJUDGED
    if (fields.get("missing_share") or 0.0) >= REREAD_SHARE:
        return REREAD
    return WAITED


def _has_paused(fields: dict[str, object]) -> bool:
    gap_ms = fields.get("gap_ms")
    return bool(gap_ms) and (fields.get("pause_ms") or 0.0) > gap_ms


def _find_time(attempt: Attempt) -> float:
    lines = attempt.routed or attempt.undelivered or [attempt.ended]
    return lines[0].timestamp
