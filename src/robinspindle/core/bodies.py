"""Bodies of requests, of which long ones are kept in pieces.

A long body in one piece would need as much memory again while it is put together, in
one stretch that what other bodies leave free does not have.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class LongBody:
    """A body in pieces.

    Attributes:
        pieces: The pieces, in their order.
    """

    pieces: tuple[bytes, ...] = field(repr=False)

    def __len__(self) -> int:
        """Return its length, bytes."""
        return sum(map(len, self.pieces))

    def __bytes__(self) -> bytes:
        """Return it in one piece."""
        return b"".join(self.pieces)


Body = bytes | LongBody


def list_pieces(body: Body) -> tuple[bytes, ...]:
    """List the pieces of a body."""
    return body.pieces if isinstance(body, LongBody) else (body,)
