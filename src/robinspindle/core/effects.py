"""What a decision asks its process to do. The processes carry effects out."""

from dataclasses import dataclass

from robinspindle.core.claims import AnyClaim
from robinspindle.core.records import AnyRecord, Step
from robinspindle.messages import AnyMessage, Ran, Work


@dataclass(frozen=True)
class Send:
    """Send a message to a peer."""

    peer: str
    message: AnyMessage


@dataclass(frozen=True)
class Launch:
    """Begin a run at the engine or the service."""

    request: str
    attempt: int
    work: Work


@dataclass(frozen=True)
class Abort:
    """Stop a run at the engine."""

    request: str
    attempt: int


@dataclass(frozen=True)
class GiveOrder:
    """Give the engine an order with its fencing number."""

    order: int
    fence: int
    step: Step


@dataclass(frozen=True)
class AppendRecord:
    """Append a record to the control stream."""

    record: AnyRecord


@dataclass(frozen=True)
class AppendClaim:
    """Append to the claims stream."""

    record: AnyClaim


@dataclass(frozen=True)
class Started:
    """To the caller: a target took the request, as this run."""

    target: str
    run: str


@dataclass(frozen=True)
class Chunk:
    """To the caller: tokens, in order."""

    first: int
    texts: tuple[str, ...]


@dataclass(frozen=True)
class Ended:
    """To the caller: the answer is whole.

    Attributes:
        count: Tokens of a generation.
        finish: Why a generation ended.
        status: HTTP status of a call.
        headers: Headers of a call's answer.
        body: Body of a call's answer.
    """

    count: int = 0
    finish: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True)
class Refusal:
    """To the caller: given up, at once.

    Attributes:
        status: HTTP status.
        code: A short word for programs.
        text: A sentence for people.
        ran: Whether the request ran.
        retry_s: When to come back, seconds; 0 where that can't help.
    """

    status: int
    code: str
    text: str
    ran: Ran = "no"
    retry_s: float = 0.0


Event = Started | Chunk | Ended | Refusal


@dataclass(frozen=True)
class Deliver:
    """Hand an event to the caller of a request."""

    request: str
    event: Event


Effect = Send | Launch | Abort | GiveOrder | AppendRecord | AppendClaim | Deliver
