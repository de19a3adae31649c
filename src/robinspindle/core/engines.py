"""What one entry believes of a model engine: its cache, its work, its pace.

An engine's own report is late by some hundred milliseconds, longer than it takes to
read a prompt. What entries send is known at once and told to the other entries, so the
belief is built from that: a replay of the engine's cache, least recently used first
out, and the sum of what is still to be read.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from robinspindle.core import paces
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.paces import Measured, Pace

SLOWNESS_SMOOTHING = 0.2
"""Weight of the newest reading in what one engine takes against all of its service:
about the last five count, so that a slow one is known within a second."""

SLOWNESS_BOUNDS = (0.25, 16.0)
"""One reading counts for no less and no more than these ratios: beyond, it waited."""

CACHE_SHARE = 0.85
"""Share of an engine's memory that is believed to hold cached parts; the rest is what
runs."""


SMALL_PROMPT_TOKENS = 1000
"""Prompts up to this length are read before longer ones, so they wait for none: they
hold nobody up, and would wait for many times their own length otherwise."""

LONG_ANSWER_TOKENS = 500
"""Answers that may be longer than this count as long: they last for seconds, and each
pause in them counts."""

PAUSE_SHARE = 0.7
"""A pause longer than this share of what is allowed makes an engine read less."""

BEYOND_GUESS = 0.25
"""Share of its length so far that an answer beyond its guess is believed to last."""

READ_SHARES = (0.05, 0.9)
READ_SHARE_RISE = 0.01
READ_SHARE_FALL = 0.8
"""Bounds and steps of the share of its pace that an engine may read with while it
generates: up a little with each good event, down at once with a late one."""


@dataclass
class Engine:
    """One engine as one entry believes it to be.

    Attributes:
        reads_only: Whether it only reads prompts and generates nothing.
        cache_tokens: Tokens that its memory holds.
        pace: How fast engines of its service read in its role; shared by all of them.
        slowness: How many times longer than that this one takes.
        cached: Parts in its cache, by id, with their tokens; oldest first.
        cached_tokens: Their sum.
        own_work_s: Seconds of reading that this entry sent and that is not done.
        peers_work_s: The same of the other entries, by name.
        peers_in_flight: Requests of the other entries there, by name.
        own_long: Long answers of this entry that it generates.
        peers_long: The same of the other entries, by name.
        recent: When prompts were placed there and how many seconds they take to read.
        placed: How many prompts were placed there by all entries.
        read_share: Share of its pace that it may spend on prompts while it
            generates long answers; follows the pauses that are seen.
    """

    reads_only: bool
    cache_tokens: int
    pace: Pace
    slowness: float = 1.0
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    own_work_s: float = 0.0
    peers_work_s: dict[str, float] = field(default_factory=dict)
    peers_in_flight: dict[str, int] = field(default_factory=dict)
    own_long: int = 0
    peers_long: dict[str, int] = field(default_factory=dict)
    recent: deque[tuple[float, float]] = field(default_factory=deque)
    placed: int = 0
    read_share: float = 0.4

    @property
    def work_s(self) -> float:
        """Seconds of reading that is still to be done for all entries."""
        return self.own_work_s + sum(self.peers_work_s.values())

    @property
    def others_in_flight(self) -> int:
        """Requests of the other entries."""
        return sum(self.peers_in_flight.values())

    @property
    def long_answers(self) -> int:
        """Long answers that it generates for all entries."""
        return self.own_long + sum(self.peers_long.values())


def make_engine(
    reads_only: bool, cache_tokens: int, pace: Pace | None = None
) -> Engine:
    """Make the belief about an engine of which nothing is known.

    Args:
        reads_only: Whether it only reads prompts.
        cache_tokens: Tokens that its memory holds.
        pace: How fast its service's engines read in its role; None for a new belief.
    """
    return Engine(reads_only, cache_tokens, pace or paces.make_pace(reads_only))


def count_cached(engine: Engine, prompt: Prompt) -> int:
    """Count the tokens of a prompt that an engine need not read again.

    A part is of use only if all before it are kept too.
    """
    count = 0
    for part in prompt.parts:
        if engine.cached.get(part.id, 0) < part.tokens:
            break
        count += part.tokens
    return count


def count_shared(prompt: Prompt) -> int:
    """Count the tokens of a prompt that other requests may share.

    The last part is the request's own.
    """
    return sum(part.tokens for part in prompt.parts[:-1])


def note_placed(engine: Engine, parts: Iterable[Part]) -> None:
    """Take note that an engine reads parts, which its cache then holds."""
    for part in parts:
        known = engine.cached.pop(part.id, 0)
        engine.cached[part.id] = max(known, part.tokens)
        engine.cached_tokens += max(known, part.tokens) - known
    limit = engine.cache_tokens * CACHE_SHARE
    while engine.cached_tokens > limit and engine.cached:
        _, tokens = engine.cached.popitem(last=False)
        engine.cached_tokens -= tokens


def estimate_reading_s(engine: Engine, new: float, context: float) -> float:
    """Estimate how long an engine reads new tokens behind cached ones, seconds."""
    return paces.estimate_seconds(engine.pace, new, context) * engine.slowness


def note_reading(engine: Engine, measured: Measured) -> None:
    """Take note of how long an engine took for a reading that did not wait."""
    usual_s = paces.estimate_seconds(engine.pace, measured.new, measured.context)
    if usual_s <= 0:
        return
    low, high = SLOWNESS_BOUNDS
    ratio = min(high, max(low, measured.seconds / usual_s))
    # The common pace is not to learn from an engine what is its own.
    common = Measured(
        measured.new, measured.context, measured.seconds / engine.slowness
    )
    paces.note_measured(engine.pace, common)
    engine.slowness += SLOWNESS_SMOOTHING * (ratio - engine.slowness)


def estimate_wait(engine: Engine, prompt: Prompt) -> float:
    """Estimate the seconds until an engine begins to read a prompt."""
    return 0.0 if is_small(prompt) else engine.work_s


def note_read_begun(engine: Engine, now: float, seconds: float) -> None:
    """Take note of a reading that an engine begins, and how long it should take."""
    engine.recent.append((now, seconds))
    engine.placed += 1


def sum_recent(engine: Engine, now: float, window_s: float) -> float:
    """Sum the seconds of reading that an engine began within a window."""
    while engine.recent and engine.recent[0][0] < now - window_s:
        engine.recent.popleft()
    return sum(seconds for _, seconds in engine.recent)


def note_pause(engine: Engine, pause_s: float, allowed_s: float) -> None:
    """Take note of a pause between two events of a long answer."""
    low, high = READ_SHARES
    if pause_s > allowed_s * PAUSE_SHARE:
        engine.read_share = max(low, engine.read_share * READ_SHARE_FALL)
    else:
        engine.read_share = min(high, engine.read_share + READ_SHARE_RISE)


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
    expected = (prompt.expected_tokens or prompt.out_tokens) / event_tokens
    # Guesses are often far off: what lasted beyond its guess lasts a while longer.
    events_left = max(expected - events, events * BEYOND_GUESS, 1.0)
    return min(gap_s, max(0.0, left_s) / events_left)


def is_small(prompt: Prompt) -> bool:
    """Whether a prompt is short enough to go before long ones."""
    return prompt.tokens <= SMALL_PROMPT_TOKENS


def is_long(prompt: Prompt) -> bool:
    """Whether a prompt asks for an answer that may be long."""
    return prompt.out_tokens > LONG_ANSWER_TOKENS


def may_read_beside(engine: Engine, now: float, reading_s: float, gap_s: float) -> bool:
    """Whether an engine may read a prompt beside the long answers it generates.

    Args:
        engine: The engine.
        now: The present time, steady seconds.
        reading_s: How long it would read, seconds.
        gap_s: The longest pause that the answers may have, seconds.
    """
    if engine.long_answers == 0:
        return True
    allowed_s = engine.read_share * gap_s
    return sum_recent(engine, now, gap_s) + reading_s <= allowed_s
