"""Limits prefill on decode engines by the pauses that their answers show.

An engine computes the events of all its answers together, and makes hardly any progress
on them while it prefills a prompt. How much it may prefill follows the pauses between
the events of its answers.
"""

from robinspindle.core.engines import SHORT_PREFILL_SHARE, Engine
from robinspindle.core.forwarding import Prompt
from robinspindle.core.prefillbacklog import sum_recent_prefill_s

PAUSE_LIMIT_SHARE = 0.7
"""A pause longer than this share of the allowed pause makes an engine prefill less."""

OVERRUN_SHARE = 0.25
"""Expected rest of an answer that has exceeded its caller's guess, as a share of its
length so far."""

PREFILL_SHARE_BOUNDS = (0.05, 0.9)
PREFILL_SHARE_STEP_UP = 0.01
PREFILL_SHARE_FACTOR_DOWN = 0.8
"""Bounds and steps of the share of its prefill capacity that an engine may use while it
generates answers: the share rises a little with each event that arrives in time and
falls much faster with late ones."""

EVENT_SMOOTHING = 0.1
"""Weight of the newest event in the average time per event of an engine: about the last
ten count, which are half a second of one answer."""

HOLD_SMOOTHING = 0.02
"""Weight of the newest answer in the average time for which answers hold their slots:
short and long answers are mixed, and the last fifty count."""

EVENT_MAX_AGE_S = 3.0
"""How long the time per event stays valid after the last event, seconds: an engine that
gets no answers because it was slow has to be tried again."""


def note_answer_begun(engine: Engine, now: float) -> None:
    """Record that an engine begins to generate an answer."""
    if engine.own_answers == 0:
        engine.answer_at = now
    engine.own_answers += 1


def note_answer_event(engine: Engine, now: float) -> None:
    """Record that an answer received its next event."""
    engine.answer_at = now


def note_answer_ended(engine: Engine) -> None:
    """Record that an answer ended or is no longer passed on."""
    engine.own_answers -= 1


def note_slot_hold(engine: Engine, seconds: float) -> None:
    """Record how long an answer held its slot at an engine, seconds."""
    if engine.slot_hold_s == 0.0:
        engine.slot_hold_s = seconds
    engine.slot_hold_s += HOLD_SMOOTHING * (seconds - engine.slot_hold_s)


def find_current_pause(engine: Engine, now: float) -> float:
    """Find how long none of an engine's answers has received an event, seconds.

    A completed pause is recorded only when its next event arrives. An engine that
    prefills without interruption would therefore show none, as if its answers tolerated
    the prefill.
    """
    return now - engine.answer_at if engine.own_answers > 0 else 0.0


def note_event(engine: Engine, now: float, pause_s: float) -> None:
    """Record how long the next event of an answer took."""
    if now - engine.event_at > EVENT_MAX_AGE_S:
        engine.event_interval_s = pause_s
    engine.event_interval_s += EVENT_SMOOTHING * (pause_s - engine.event_interval_s)
    engine.event_at = now


def find_event_s(engine: Engine, now: float) -> float | None:
    """Find an engine's time per event of long answers, seconds; None if not known."""
    return engine.event_interval_s if now - engine.event_at <= EVENT_MAX_AGE_S else None


def note_long_pause(engine: Engine, pause_s: float, allowed_s: float) -> None:
    """Record a pause between two events of a long answer."""
    max_share = PREFILL_SHARE_BOUNDS[1]
    engine.prefill_share = _adapt_share(
        engine.prefill_share, pause_s, allowed_s, max_share
    )


def note_short_pause(engine: Engine, pause_s: float, allowed_s: float) -> None:
    """Record a pause between two events of a short answer.

    A prefill slows short answers as it does long ones. With a fixed share of the
    allowed pause, more of them would pause the more answers an engine generates.
    """
    share = engine.short_prefill_share
    engine.short_prefill_share = _adapt_share(
        share, pause_s, allowed_s, SHORT_PREFILL_SHARE
    )


def _adapt_share(
    share: float, pause_s: float, allowed_s: float, max_share: float
) -> float:
    if pause_s > allowed_s * PAUSE_LIMIT_SHARE:
        return max(PREFILL_SHARE_BOUNDS[0], share * PREFILL_SHARE_FACTOR_DOWN)
    return min(max_share, share + PREFILL_SHARE_STEP_UP)


def find_allowed_pause(
    prompt: Prompt, events: int, event_tokens: int, left_s: float, gap_s: float
) -> float:
    """Find how long the next event of a long answer may take, seconds.

    Args:
        prompt: Its prompt.
        events: Events so far.
        event_tokens: Tokens per event.
        left_s: Time until the deadline of the whole answer, seconds.
        gap_s: The longest allowed pause between two events, seconds.
    """
    expected_events = (
        prompt.expected_answer_tokens or prompt.max_answer_tokens
    ) / event_tokens
    # Guesses are often far off: an answer beyond its guess lasts a while longer.
    events_left = max(expected_events - events, events * OVERRUN_SHARE, 1.0)
    return min(gap_s, max(0.0, left_s) / events_left)


def find_prefill_share(engine: Engine) -> float:
    """Find the share of its prefill capacity that an engine may use now."""
    return engine.prefill_share if engine.long_answers else engine.short_prefill_share


def may_prefill_beside(
    engine: Engine, now: float, prefill_s: float, gap_s: float
) -> bool:
    """Check whether an engine may prefill a prompt beside the answers it generates.

    Args:
        engine: The engine.
        now: The current time, monotonic seconds.
        prefill_s: How long the prefill would take, seconds.
        gap_s: The longest allowed pause between two events of the answers, seconds.
    """
    if find_current_pause(engine, now) > PAUSE_LIMIT_SHARE * gap_s:
        return False
    max_prefill_s = find_prefill_share(engine) * gap_s
    return sum_recent_prefill_s(engine, now, gap_s) + prefill_s <= max_prefill_s
