"""Effects, the results of decisions, which an entry or agent process carries out."""

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
    """Start a run at the engine or the service."""

    request: str
    attempt: int
    work: Work


@dataclass(frozen=True)
class Abort:
    """Abort a run at the engine or the service."""

    request: str
    attempt: int


@dataclass(frozen=True)
class GiveOrder:
    """Send an order to the engine, with its fencing token."""

    order: int
    fence: int
    step: Step


@dataclass(frozen=True)
class AppendRecord:
    """Append a record to the control stream."""

    record: AnyRecord


@dataclass(frozen=True)
class AppendClaim:
    """Append a record to the claims stream."""

    record: AnyClaim


@dataclass(frozen=True)
class Started:
    """Event for the caller: a target accepted the request as this run."""

    target: str
    run: str


@dataclass(frozen=True)
class Chunk:
    """Event for the caller: the next tokens of the answer, in order.

    Attributes:
        first: Number of the first token.
        texts: The tokens.
    """

    first: int
    texts: tuple[str, ...]


@dataclass(frozen=True)
class Ended:
    """Event for the caller: the answer is complete.

    Attributes:
        count: Number of tokens of a generation.
        finish: Why a generation ended.
        status: HTTP status of a call's response.
        headers: Headers of a call's response.
        body: Body of a call's response.
    """

    count: int = 0
    finish: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True)
class Refusal:
    """Event for the caller: the request is refused or has failed.

    Attributes:
        status: HTTP status.
        code: Machine-readable error code.
        text: Human-readable error message.
        ran: Whether the request ran.
        retry_s: Delay before a retry, seconds; 0 if a retry can't help.
    """

    status: int
    code: str
    text: str
    ran: Ran = "no"
    retry_s: float = 0.0


Event = Started | Chunk | Ended | Refusal


@dataclass(frozen=True)
class Deliver:
    """Deliver an event to the caller of a request."""

    request: str
    event: Event


Effect = Send | Launch | Abort | GiveOrder | AppendRecord | AppendClaim | Deliver
