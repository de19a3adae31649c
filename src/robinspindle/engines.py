"""Calls of a target: an engine's API or a plain service's."""

from collections.abc import Iterator

import msgspec
import urllib3

from robinspindle.core.decoding import make_json_decoder
from robinspindle.core.records import ObservedEngine, Step
from robinspindle.exceptions import (
    BadDocumentError,
    EngineUnreachableError,
    FencedError,
    OrderFailedError,
)
from robinspindle.httpcalls import (
    PIECE_BYTES,
    BodyTooLongError,
    UpstreamCalls,
    UpstreamLimits,
    WholeAnswer,
    closing_unless_read,
)
from robinspindle.messages import Work

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 60.0
ASK_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 120.0
CONFLICT = 409
MOST_LINE_BYTES = 1 << 20
"""Longest line of a generation: a token and why it ended."""

HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade")
)


class EngineToken(msgspec.Struct):
    """One line of an engine's stream.

    Attributes:
        text: A token's text.
        done: Why the generation ended, on the last line.
    """

    text: str = ""
    done: str = ""


class EngineState(msgspec.Struct):
    """What an engine says of itself.

    Attributes:
        role: Its role.
        model: Its model.
        adapters: Its adapters.
        version: Its model's version.
        busy: Whether it is in the middle of a change.
        boot: Name of this run of the engine.
    """

    role: str = "mixed"
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""
    busy: bool = False
    boot: str = ""

    def to_observed(self) -> ObservedEngine:
        """Return it as the log keeps it."""
        return ObservedEngine(
            role=self.role,
            model=self.model,
            adapters=self.adapters,
            version=self.version,
        )


class CacheEvents(msgspec.Struct):
    """Changes of an engine's prefix cache; late, and some are missing.

    Attributes:
        next: Where to go on reading.
        added: Digests of prefixes that came in.
        removed: Digests of prefixes that went.
    """

    next: int = 0
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class CallAnswer(msgspec.Struct):
    """A plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


_decode_token = make_json_decoder(EngineToken)
_decode_state = make_json_decoder(EngineState)
_decode_cache_events = make_json_decoder(CacheEvents)


class Engine:
    """Calls of one target; safe to use from several threads."""

    def __init__(self, address: str, slots: int, limits: UpstreamLimits):
        """Prepare calls.

        Args:
            address: Host and port of the target.
            slots: Requests that it takes at a time.
            limits: What its answers may make the process hold.
        """
        self._base = f"http://{address}"
        self._calls = UpstreamCalls(limits, maxsize=slots + 4)

    def generate(self, work: Work, run: str) -> Iterator[EngineToken]:
        """Run a generation and yield its lines as they come.

        Args:
            work: The request.
            run: Name of the run, with which it can be cancelled.

        Raises:
            EngineUnreachableError: If the engine breaks off.
        """
        body = {
            "id": run,
            "prompt": work.prompt,
            "adapter": work.adapter,
            "max_tokens": work.max_tokens,
            "resumed": work.resumed,
            "priority": work.priority,
            "stage": work.stage,
            "cache": work.request if work.stage != "whole" else "",
            "export_to": work.export_to,
            "prefix": work.prefix,
            "prefix_tokens": work.prefix_tokens,
        }
        headers = {"traceparent": work.trace} if work.trace else {}
        response = self._open("/generate", body, headers)
        with closing_unless_read(response):
            yield from _read_lines(response)

    def call(self, work: Work) -> CallAnswer:
        """Pass a call on to a plain service.

        Raises:
            EngineUnreachableError: If no answer came; `was_reached` tells whether
                the call may have had an effect.
        """
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S)
        try:
            response = self._calls.call(
                work.method,
                self._base + work.path,
                body=work.body,
                headers=dict(work.headers),
                timeout=timeout,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _make_unreachable(error) from None
        headers = tuple(
            (name, value)
            for name, value in response.headers
            if name.lower() not in HOP_HEADERS
        )
        return CallAnswer(response.status, headers, response.data)

    def cancel(self, run: str) -> None:
        """Ask the engine to stop a run; nothing is known if it can't be reached."""
        self._post("/cancel", {"id": run}, ASK_TIMEOUT_S)

    def ask_state(self) -> EngineState:
        """Ask the engine what it is."""
        return _decode_state(self._get("/state"))

    def ask_cache_events(self, start: int) -> CacheEvents:
        """Ask for changes of the prefix cache."""
        body = self._get(f"/cache/events?from={start}")
        return _decode_cache_events(body)

    def give_order(self, step: Step, fence: int) -> EngineState:
        """Give an order and wait until it is carried out.

        Raises:
            FencedError: If the engine has seen a newer number.
            OrderFailedError: If the engine refused or failed.
            EngineUnreachableError: If nothing is known.
        """
        body = {
            "action": step.action,
            "role": step.role,
            "model": step.model,
            "adapters": step.adapters,
            "version": step.version,
            "fence": fence,
        }
        response = self._post("/orders", body, ORDER_TIMEOUT_S)
        if response.status == CONFLICT:
            raise FencedError(f"the engine refused the number {fence}")
        if response.status != 200:
            raise OrderFailedError(f"the engine answered {response.status}")
        return _decode_state(response.data)

    def _open(self, path: str, body: dict, headers: dict) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S)
        data = msgspec.json.encode(body)
        try:
            response = self._calls.begin(
                "POST",
                self._base + path,
                body=data,
                headers=headers,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _make_unreachable(error) from None
        if response.status != 200:
            response.close()
            raise EngineUnreachableError(f"the engine answered {response.status}")
        return response

    def _get(self, path: str) -> bytes:
        try:
            response = self._calls.call(
                "GET",
                self._base + path,
                timeout=ASK_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _make_unreachable(error) from None
        if response.status != 200:
            raise EngineUnreachableError(f"the engine answered {response.status}")
        return response.data

    def _post(self, path: str, body: dict, timeout_s: float) -> WholeAnswer:
        try:
            return self._calls.call(
                "POST",
                self._base + path,
                body=msgspec.json.encode(body),
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
        except urllib3.exceptions.HTTPError as error:
            raise _make_unreachable(error) from None


def _make_unreachable(error: Exception) -> EngineUnreachableError:
    never = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    text = f"the target gave no answer: {error}"
    return EngineUnreachableError(text, was_reached=not isinstance(error, never))


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[EngineToken]:
    rest = b""
    try:
        for chunk in response.stream(PIECE_BYTES):
            *lines, rest = (rest + chunk).split(b"\n")
            if len(rest) > MOST_LINE_BYTES:
                raise BodyTooLongError("a line without end")
            for line in lines:
                if line:
                    yield _decode_token(line)
    except (urllib3.exceptions.HTTPError, BadDocumentError, OSError) as error:
        raise EngineUnreachableError(f"the stream broke off: {error}") from None
