"""Records the room that this gateway's requests take at engines."""

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count

from robinspindle.core.room import make_claim
from robinspindle.core.roomclaims import Use, add_claim, drop_claim
from robinspindle.core.targets import Target
from robinspindle.passages import Means, Passage

HOLDERS = count()
"""Numbers the holders of claims: callers may send one id twice, or none."""


@contextmanager
def claim_room(
    means: Means, passage: Passage, target: Target, use: Use
) -> Iterator[None]:
    """Claim room for a request at a target, for as long as the block runs.

    Targets without an engine, and requests without a prompt, have no such account.
    """
    engine = means.fleet.find_engine(target)
    prompt = passage.request.prompt
    if engine is None or prompt is None:
        yield
        return
    claim = make_claim(engine, prompt, use, means.clock())
    holder = f"{passage.request.id}/{next(HOLDERS)}"
    add_claim(engine.room, holder, claim)
    means.peers.changed.set()
    try:
        yield
    finally:
        drop_claim(engine.room, holder, use)
        means.peers.changed.set()
