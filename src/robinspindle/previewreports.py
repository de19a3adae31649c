"""Previews of requests as operators ask for them and read them."""

import msgspec
import urllib3

from robinspindle.core.decoding import make_json_decoder
from robinspindle.exceptions import ApiError, BadDocumentError
from robinspindle.httpcalls import UpstreamCalls
from robinspindle.tables import format_table

PATH = "/preview"
"""Where a gateway's metrics port answers a `Question`."""

TIMEOUT_S = 5.0

WAYS = ("route", "service", "workspace", "rank", "target", "reader", "cache_source")
AGES = ("configuration_age_ms", "list_age_ms", "peers_age_ms", "is_store_away")


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """A request that is not sent.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Its headers, with the host and any key.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]


class CandidateRow(msgspec.Struct):
    """One target of the service, and what it would cost now.

    Attributes:
        target: Its lifetime.
        role: ``prefill``, ``decode`` or empty for a plain service.
        zone: Its availability zone.
        is_usable: Whether it may get the request.
        state: What speaks against it, in one word; empty for nothing.
        cost: Cost by which it is compared: milliseconds at an engine, requests in
            flight at a plain target; None where it isn't compared.
        first_event_ms: Expected time until the first event; None as above.
        in_flight: This gateway's requests there.
        peers_in_flight: The other gateways' requests there.
        backlog_ms: Prompts of all gateways that wait to be prefilled there.
        slot_wait_ms: Expected wait for a slot.
        memory_wait_ms: Expected wait for memory.
        zone_ms: Cost of the way to its zone.
        crossing_ms: Price of the bytes that would move between zones.
        missing_tokens: Tokens of the prompt that it would have to prefill.
        slowness: Ratio of its times to the usual ones.
        faults: Share of faulty answers, 0 to 1.
        heard_ms: How long ago it was heard; None for never.
    """

    target: str
    role: str
    zone: str
    is_usable: bool
    state: str
    in_flight: int
    slowness: float
    faults: float
    cost: float | None = None
    first_event_ms: float | None = None
    peers_in_flight: int = 0
    backlog_ms: float = 0.0
    slot_wait_ms: float = 0.0
    memory_wait_ms: float = 0.0
    zone_ms: float = 0.0
    crossing_ms: float = 0.0
    missing_tokens: int | None = None
    heard_ms: float | None = None


class Preview(msgspec.Struct, kw_only=True):
    """What a gateway would do with a request now.

    Attributes:
        gateway: Its name.
        refusal: Why it would refuse the request, in one word; empty if it would send.
        status: The status of that refusal; None if it would send.
        route: The request's route; empty if none was found.
        service: The service chosen for it.
        workspace: The workspace of its key; empty for none.
        rank: Its rank; 0 is the highest.
        target: Where its answer would be generated, also if it would be refused.
        reader: Where its prompt would be prefilled; empty if at the target.
        cache_source: From whose cache parts would be fetched; empty for none.
        level: Priority level of the prefill.
        first_event_ms: Expected time until the first event.
        left_ms: Time until the first event is due.
        leaving: Why it would leave the zone; empty if it would not.
        configuration: Version of the configuration; 0 for none.
        configuration_age_ms: Since when it may not be the newest; None if unknown.
        list_age_ms: Age of the targets' list.
        peers_age_ms: Age of the oldest news of a peer.
        is_store_away: Whether the store can't be reached.
        candidates: The service's targets, those that may get it and cost least first.
    """

    gateway: str
    refusal: str = ""
    status: int | None = None
    route: str = ""
    service: str = ""
    workspace: str = ""
    rank: int = 0
    target: str = ""
    reader: str = ""
    cache_source: str = ""
    level: int | None = None
    first_event_ms: float | None = None
    left_ms: float | None = None
    leaving: str = ""
    configuration: int = 0
    configuration_age_ms: float | None = None
    list_age_ms: float = 0.0
    peers_age_ms: float = 0.0
    is_store_away: bool = False
    candidates: list[CandidateRow] = []


_decode_preview = make_json_decoder(Preview)


def ask_preview(gateway: str, question: Question) -> Preview:
    """Ask a gateway what it would do with a request.

    Args:
        gateway: IP:PORT of its metrics.
        question: The request.

    Raises:
        ApiError: When no gateway answers there, or it can't read the request.
    """
    try:
        response = UpstreamCalls().call(
            "POST",
            f"http://{gateway}{PATH}",
            body=msgspec.json.encode(question),
            timeout=TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError as error:
        raise ApiError(0, f"no gateway answers at {gateway}: {error}") from None
    if response.status >= 400:
        raise ApiError(response.status, response.data.decode(errors="replace").strip())
    try:
        return _decode_preview(response.data)
    except BadDocumentError:
        text = f"{gateway} does not know previews"
        raise ApiError(response.status, text) from None


def format_preview(preview: Preview) -> str:
    """Lay a preview out for people."""
    end = f"would refuse it: {preview.status} {preview.refusal}"
    lines = [f"{preview.gateway} {end if preview.refusal else 'would send it'}"]
    for name in (*WAYS, "level", "first_event_ms", "left_ms", "leaving"):
        value = getattr(preview, name)
        if value not in ("", None):
            lines.append(f"  {name}: {value}")
    ages = " ".join(f"{name}={getattr(preview, name)}" for name in AGES)
    lines.append(f"  configuration: {preview.configuration} {ages}")
    if preview.candidates:
        names = CandidateRow.__struct_fields__
        rows = [msgspec.structs.astuple(row) for row in preview.candidates]
        cells = [["-" if cell in ("", None) else cell for cell in row] for row in rows]
        lines.append(format_table(names, cells))
    return "\n".join(lines)
