"""The room of one engine: its slots, KV cache and prefill time, and who takes them.

Running requests and cached parts share an engine's memory. What requests take is kept
here; cached parts give way to them and are kept in `core/engines.py`, prefill time in
`core/prefillbacklog.py`. `describe_room` brings the three together.

A gateway records its own claims as they begin and end. The other gateways send sums of
theirs with their digests, so a peer that times out, or starts again, takes its claims
with it: nothing has to be given back.
"""

import math
from dataclasses import dataclass

from robinspindle.core.engines import Engine, count_shared
from robinspindle.core.estimates import Pair
from robinspindle.core.forwarding import Prompt
from robinspindle.core.roomclaims import USES_WITHOUT_ANSWER, Claim, Use

UNSEEN_SPREAD = 3.0
"""Standard deviations that the error of a view allows for: requests begin and end at
random, and one view in some hundred may be further off."""


@dataclass(frozen=True)
class RoomView:
    """The room of an engine as one gateway knows it.

    Attributes:
        free_slots: Slots that nothing takes; negative while requests wait for one.
        free_tokens: Memory that no request takes, tokens; cached parts give way.
        running: Requests that are in flight there, at most as many as there are slots.
        taken_tokens: Memory that requests take, tokens.
        prefill_s: Prefill backlog, seconds.
        set_aside: Slots that no running request takes yet, though one will.
        turnover_per_s: Requests that begin there in a second, by those that run and how
            long they last; 0 where that is not known.
        age_s: Maximum age of what the other gateways told, seconds.
        slot_error: How far `free_slots` may be off by what peers did meanwhile.
        token_error: The same for `free_tokens`, tokens.
    """

    free_slots: int
    free_tokens: int
    running: int
    taken_tokens: int
    prefill_s: float
    set_aside: int
    turnover_per_s: float
    age_s: float
    slot_error: float
    token_error: float


def count_tokens(prompt: Prompt, use: Use) -> int:
    """Count the memory that a request takes until its end, tokens.

    Parts that others may share are left out: an engine holds them once for all, and
    they are in its cache anyway. An answer without a guess of its length counts
    nothing: the maximum is often far above all lengths, and engines would seem full.

    Args:
        prompt: Its prompt.
        use: What takes the memory; not all uses include the answer.
    """
    own_tokens = max(0, prompt.tokens - count_shared(prompt))
    if use in USES_WITHOUT_ANSWER:
        return own_tokens
    return own_tokens + max(0, prompt.expected_answer_tokens)


def make_claim(engine: Engine, prompt: Prompt, use: Use, now: float) -> Claim:
    """Make the claim of a request on an engine: no more than the engine has.

    Lengths and guesses are a caller's own words, and peers refuse absurd sums.

    Args:
        engine: The engine.
        prompt: The request's prompt.
        use: What takes the room.
        now: The current time, monotonic seconds.
    """
    tokens = min(count_tokens(prompt, use), engine.cache_tokens)
    return Claim(use, tokens, now)


def can_ever_fit(engine: Engine, prompt: Prompt) -> bool:
    """Check whether an engine has memory for a prompt once it serves nothing else."""
    return prompt.tokens <= engine.cache_tokens


def describe_room(pair: Pair, age_s: float) -> RoomView:
    """Describe the room of an engine.

    What the other gateways told is late, so requests of theirs have begun and ended
    since. Both come at the turnover of the engine; the errors are the mean number of
    those, and `UNSEEN_SPREAD` standard deviations more.

    Args:
        pair: The engine and its target.
        age_s: Maximum age of what other gateways have reported, seconds.
    """
    target, engine = pair
    room = engine.room
    in_flight = target.in_flight + engine.others_in_flight
    slots = max(1, target.announced.slots)
    running = min(in_flight, slots)
    turnover_per_s = _find_turnover(running, engine.slot_hold_s)
    unseen = turnover_per_s * age_s
    slot_error = unseen + UNSEEN_SPREAD * math.sqrt(unseen)
    return RoomView(
        free_slots=slots - in_flight - room.set_aside,
        free_tokens=engine.cache_tokens - room.tokens,
        running=running,
        taken_tokens=room.tokens,
        prefill_s=engine.backlog_s,
        set_aside=room.set_aside,
        turnover_per_s=turnover_per_s,
        age_s=age_s,
        slot_error=slot_error,
        token_error=slot_error * room.tokens / max(1, in_flight + room.set_aside),
    )


def estimate_memory_wait_s(pair: Pair, tokens: int) -> float:
    """Estimate how long a request waits for memory of an engine, seconds.

    It becomes free as running answers end. Requests that will come once their prompts
    have been read elsewhere are ahead of it.

    Args:
        pair: The engine and its target.
        tokens: Memory that the request takes, tokens.
    """
    engine = pair[1]
    room = engine.room
    # This runs for each engine and request, so it takes no detour over properties.
    taken_tokens = room.own.tokens + room.peers.tokens
    missing_tokens = taken_tokens + min(0, tokens - engine.cache_tokens)
    if missing_tokens <= 0:
        return 0.0
    return missing_tokens / max(1, engine.cache_tokens) * engine.slot_hold_s


def _find_turnover(running: int, hold_s: float) -> float:
    """Find how many requests begin in a second: as many as end (Little's law)."""
    return running / hold_s if hold_s > 0 else 0.0
