"""A buffer that puts the numbered tokens of an answer in order."""

from dataclasses import dataclass, field


@dataclass
class TokenBuffer:
    """The tokens of an answer that have arrived.

    Attributes:
        texts: Tokens that were returned for delivery, in order without a gap.
        out_of_order: Tokens by number that arrived before one with a lower number.
        count: Number of tokens of the complete answer, or None if it is not known.
    """

    texts: list[str] = field(default_factory=list)
    out_of_order: dict[int, str] = field(default_factory=dict)
    count: int | None = None

    @property
    def is_whole(self) -> bool:
        """Whether every token of the declared count has been delivered."""
        return self.count is not None and len(self.texts) >= self.count

    @property
    def has_gap(self) -> bool:
        """Whether a token is known to be missing."""
        return bool(self.out_of_order) or (self.count is not None and not self.is_whole)


def add_tokens(buffer: TokenBuffer, first: int, texts: tuple[str, ...]) -> list[str]:
    """Add tokens and return those that can now be delivered, in order.

    Tokens that were delivered before are ignored.

    Args:
        buffer: The buffer.
        first: Number of the first token.
        texts: The tokens.
    """
    delivered = len(buffer.texts)
    if first == delivered and not buffer.out_of_order:
        buffer.texts.extend(texts)
        return list(texts)
    for number, text in enumerate(texts, first):
        if number >= delivered:
            buffer.out_of_order[number] = text
    while len(buffer.texts) in buffer.out_of_order:
        buffer.texts.append(buffer.out_of_order.pop(len(buffer.texts)))
    return buffer.texts[delivered:]
