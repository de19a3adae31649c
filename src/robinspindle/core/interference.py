"""What answers tell of the engine that generates them, and what that may read beside.

An engine makes the events of all its answers together, and hardly any while it reads a
prompt between them. How much it may read follows the pauses that its answers show.
"""

from robinspindle.core.engines import SHORT_PREFILL_SHARE, Engine, sum_recent_prefill_s
from robinspindle.core.forwarding import Prompt

PAUSE_LIMIT_SHARE = 0.7
"""A pause longer than this share of what is allowed makes an engine read less."""

BEYOND_GUESS = 0.25
"""Share of its length so far that an answer beyond its guess is believed to last."""

PREFILL_SHARE_BOUNDS = (0.05, 0.9)
READ_SHARE_RISE = 0.01
READ_SHARE_FALL = 0.8
"""Bounds and steps of the share of its pace that an engine may read with while it
generates: up a little with each good event, down at once with a late one."""

EVENT_SMOOTHING = 0.1
"""Weight of the newest event in the pace of an engine's answers: about the last
ten count, half a second of one answer."""

HOLD_SMOOTHING = 0.02
"""Weight of the newest answer in how long answers hold their slots: short and long
ones mixed, of which the last fifty count."""

EVENT_MAX_AGE_S = 3.0
"""How long that pace is believed, seconds: an engine that gets no answers for it
has to be tried again once what slowed it is over."""


def note_answer_begun(engine: Engine, now: float) -> None:
    """Take note of an answer that an engine begins to generate."""
    if engine.own_answers == 0:
        engine.answer_at = now
    engine.own_answers += 1


def note_answer_event(engine: Engine, now: float) -> None:
    """Take note that an answer got its next event."""
    engine.answer_at = now


def note_answer_ended(engine: Engine) -> None:
    """Take note that an answer ended, or is not passed on any more."""
    engine.own_answers -= 1


def note_slot_hold(engine: Engine, seconds: float) -> None:
    """Take note of how long an answer held its slot at an engine, seconds."""
    if engine.slot_hold_s == 0.0:
        engine.slot_hold_s = seconds
    engine.slot_hold_s += HOLD_SMOOTHING * (seconds - engine.slot_hold_s)


def find_current_pause(engine: Engine, now: float) -> float:
    """Find for how long none of an engine's answers has got an event, seconds.

    A pause is seen when it ends; an engine that reads without end ends none, and would
    look as if its answers bore that.
    """
    return now - engine.answer_at if engine.own_answers > 0 else 0.0


def note_event(engine: Engine, now: float, pause_s: float) -> None:
    """Take note of how long the next event of an answer took."""
    if now - engine.event_at > EVENT_MAX_AGE_S:
        engine.event_s = pause_s
    engine.event_s += EVENT_SMOOTHING * (pause_s - engine.event_s)
    engine.event_at = now


def find_event_s(engine: Engine, now: float) -> float | None:
    """Find the pace of an engine's long answers, seconds an event; None: not known."""
    return engine.event_s if now - engine.event_at <= EVENT_MAX_AGE_S else None


def note_long_pause(engine: Engine, pause_s: float, allowed_s: float) -> None:
    """Take note of a pause between two events of a long answer."""
    most = PREFILL_SHARE_BOUNDS[1]
    engine.prefill_share = _adapt_share(engine.prefill_share, pause_s, allowed_s, most)


def note_short_pause(engine: Engine, pause_s: float, allowed_s: float) -> None:
    """Take note of a pause between two events of a short answer.

    What is read beside short answers slows them as it does long ones; with a fixed
    share of their gaps, the more answers an engine generates the more of them pause.
    """
    share = engine.short_prefill_share
    engine.short_prefill_share = _adapt_share(
        share, pause_s, allowed_s, SHORT_PREFILL_SHARE
    )


def _adapt_share(share: float, pause_s: float, allowed_s: float, most: float) -> float:
    if pause_s > allowed_s * PAUSE_LIMIT_SHARE:
        return max(PREFILL_SHARE_BOUNDS[0], share * READ_SHARE_FALL)
    return min(most, share + READ_SHARE_RISE)


def find_allowed_pause(
    prompt: Prompt, events: int, event_tokens: int, left_s: float, gap_s: float
) -> float:
    """Find how long the next event of a long answer may take.

    Args:
        prompt: Its prompt.
        events: Events so far.
        event_tokens: Tokens that an event holds.
        left_s: Seconds until the whole answer is due.
        gap_s: The longest pause that is in time, seconds.
    """
    expected = (
        prompt.expected_answer_tokens or prompt.max_answer_tokens
    ) / event_tokens
    # Guesses are often far off: what lasted beyond its guess lasts a while longer.
    events_left = max(expected - events, events * BEYOND_GUESS, 1.0)
    return min(gap_s, max(0.0, left_s) / events_left)


def find_prefill_share(engine: Engine) -> float:
    """Find what share of its pace an engine may read with beside its answers."""
    return engine.prefill_share if engine.long_answers else engine.short_prefill_share


def may_prefill_beside(
    engine: Engine, now: float, prefill_s: float, gap_s: float
) -> bool:
    """Whether an engine may read a prompt beside the answers it generates.

    Args:
        engine: The engine.
        now: The present time, steady seconds.
        prefill_s: How long it would read, seconds.
        gap_s: The longest pause that the answers may have, seconds.
    """
    if find_current_pause(engine, now) > PAUSE_LIMIT_SHARE * gap_s:
        return False
    most_s = find_prefill_share(engine) * gap_s
    return sum_recent_prefill_s(engine, now, gap_s) + prefill_s <= most_s
