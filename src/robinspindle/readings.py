"""The prompts that this gateway has engines read, and what it believes of them."""

from robinspindle.core.engines import (
    Engine,
    note_pace,
    note_placed,
    note_read_begun,
)
from robinspindle.core.sharing import Placement
from robinspindle.core.targets import Target
from robinspindle.passages import Means, Passage


class Reading:
    """Tokens that an engine is believed to have before it, until they are read."""

    def __init__(self, engine: Engine, tokens: int, now: float):
        self._engine = engine
        self._tokens = tokens
        self._ahead = engine.unread
        self._began_at = now
        self._is_open = True
        engine.own_unread += tokens

    def end(self, now: float) -> None:
        """Note that the prompt has been read."""
        if self._is_open:
            self.cancel()
            note_pace(self._engine, self._ahead + self._tokens, now - self._began_at)

    def cancel(self) -> None:
        """Note that the prompt need not be read any more."""
        if self._is_open:
            self._is_open = False
            self._engine.own_unread -= self._tokens


class Readings:
    """Begins readings and keeps what the peers are to be told of them.

    Attributes:
        placements: Prompts placed since they were last told to the peers.
    """

    def __init__(self, means: Means):
        self.placements: list[Placement] = []
        self._means = means

    def begin(
        self, passage: Passage, target: Target, engine: Engine, unread: int
    ) -> Reading:
        """Take note that a target's engine is sent a prompt to read.

        Args:
            passage: The request with the prompt.
            target: Where it is sent.
            engine: The target's engine.
            unread: Tokens of the prompt that are believed not to be cached there.
        """
        clock, counts = self._means.clock, self._means.metrics.prompt_tokens
        prompt = passage.request.prompt
        begun = Reading(engine, unread, clock())
        note_placed(engine, prompt.parts)
        counts.labels("read").inc(unread)
        counts.labels("cached").inc(prompt.tokens - unread)
        note_read_begun(engine, clock(), unread)
        told = [(part.id, part.tokens) for part in prompt.parts]
        self.placements.append(Placement(target.announced.lifetime, told, unread))
        return begun
