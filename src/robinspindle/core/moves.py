"""Decides which answers are moved away from an engine that is about to leave.

An engine that leaves generates on for a while and then ends, with all answers that are
still under way. Those that would outlive it are moved to other engines in time: the KV
cache is copied while the answer goes on, then the run stops and goes on elsewhere.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from robinspindle.core.decodeplacement import LENGTH_SAFETY_FACTOR
from robinspindle.core.forwarding import MAX_SENDS, Prompt

MOVE_OVERHEAD_S = 0.1
"""Time of a move besides its transfer, seconds: two calls, and the pause until the next
event."""

LINKS_SHARED = 2.0
"""Factor on the transfer time: other moves, and prompts that are prefilled elsewhere,
use the same links, and the destination may be in another availability zone."""


MAX_OFFERS = MAX_SENDS - 1
"""Sendings of a request from which on its run is not stopped: it must be sent again."""


MARGIN_S = 1.0
"""Time before an engine leaves by which its answers should have been moved, seconds: an
entry takes up to half of it to be known, and a busy link as much."""

LAST_SEND_S = 0.5
"""Time before an engine leaves from which on nothing is sent to it any more, seconds: a
new connection and a busy link take as much."""


@dataclass(frozen=True)
class MovableRun:
    """An answer under way at an engine that leaves.

    Attributes:
        id: The id of its request.
        tokens: Tokens of its KV cache.
        left_s: How long it may go on, seconds.
        may_rerun: Whether it may run again from its prompt.
    """

    id: str
    tokens: int
    left_s: float
    may_rerun: bool


def may_send_back(now: float, leaves_at: float) -> bool:
    """Return whether a stopped answer may still be sent to the engine that leaves.

    Args:
        now: The current time, monotonic seconds.
        leaves_at: When the engine leaves, monotonic seconds.
    """
    return now < leaves_at - LAST_SEND_S


def estimate_left_s(
    prompt: Prompt, events: int, event_tokens: int, event_s: float
) -> float:
    """Estimate how long an answer may go on, seconds.

    Its caller's guess is right in the median only, so twice that counts; an answer that
    is longer still may reach its maximum.

    Args:
        prompt: Its prompt.
        events: Events that it has.
        event_tokens: Tokens per event.
        event_s: Time per event, seconds.
    """
    most = prompt.max_answer_tokens / event_tokens
    likely = LENGTH_SAFETY_FACTOR * prompt.expected_answer_tokens / event_tokens
    expected = min(most, likely) if events < likely else most
    return max(0.0, expected - events) * event_s


def list_moves(
    runs: Iterable[MovableRun], leaves_in_s: float, token_transfer_s: float
) -> list[MovableRun]:
    """List the answers to move, in order.

    All are lost at the same moment, and the source's link takes one at a time, so the
    quickest go first: that saves the most of them. But those that may run again come
    last, as they can be saved by a new prefill.

    None is moved before it must be: until then some end by themselves, and a move costs
    its caller a pause.

    Args:
        runs: The answers at the engine.
        leaves_in_s: Time until the engine leaves, seconds.
        token_transfer_s: Transfer time per token of the KV cache, seconds.

    Returns:
        Those that would outlive the engine, as far as there is time to move them; none
        while there is time to wait.
    """
    outliving = [run for run in runs if run.left_s > leaves_in_s]
    outliving.sort(key=lambda run: (run.may_rerun, run.tokens))
    moves, left_s = [], leaves_in_s
    for run in outliving:
        move_s = MOVE_OVERHEAD_S + LINKS_SHARED * run.tokens * token_transfer_s
        if move_s <= left_s:
            moves.append(run)
            left_s -= move_s
    needed_s = leaves_in_s - left_s
    return moves if leaves_in_s <= MARGIN_S + needed_s else []
