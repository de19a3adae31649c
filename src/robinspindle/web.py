"""HTTP plumbing: requests, answers and errors on top of cheroot's WSGI server."""

import ssl
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import IO

import msgspec
from cheroot.ssl.builtin import BuiltinSSLAdapter
from cheroot.wsgi import Gateway_10

from robinspindle.callerthreads import CallerThreads
from robinspindle.core.decoding import parse_whole
from robinspindle.core.effects import Refusal
from robinspindle.exceptions import CallerLeftError, RobinspindleError
from robinspindle.hangups import is_closed_by_peer
from robinspindle.threadlimits import Reading, ThreadLimits, make_thread_limits

JSON = "application/json"
RECEIVE_TIMEOUT_S = 10
QUEUE_SIZE = 512
CALLER_LEFT = "robinspindle.has_caller_left"
READING = "robinspindle.reading"

BODY_PIECE_BYTES = 16384
"""The most that is read of a body before it is counted, bytes."""

CROWDED_OUT_RETRY_S = 1.0
"""After which time a request may come again that was dropped as it came, seconds."""

STOPPED_RETRY_S = 0.1
"""After which time a request may come again that a stopping server refuses, seconds."""

CALLER_LEFT_REFUSAL = Refusal(
    504, "caller_left", "the caller has closed its connection", "unknown"
)


@dataclass(frozen=True)
class Request:
    """An HTTP request.

    Attributes:
        method: Its method.
        path: Its path, decoded.
        query: Its query, as sent.
        headers: Its headers, names in lower case.
        body: Its whole body.
        has_caller_left: Tells whether the caller has closed its connection since.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    has_caller_left: Callable[[], bool] = lambda: False

    @property
    def bearer(self) -> str:
        """The bearer key, empty for none."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""


@dataclass(frozen=True)
class Answer:
    """An HTTP answer.

    Attributes:
        status: Its status.
        body: Its parts; an iterator is streamed.
        headers: Its headers.
    """

    status: int
    body: Iterable[bytes]
    headers: tuple[tuple[str, str], ...] = field(default=(("Content-Type", JSON),))


class HttpError(RobinspindleError):
    """A request that is answered with an error.

    Attributes:
        refusal: The status, code, sentence, and whether the request ran.
        param: The field of the body that is wrong, empty for none.
    """

    def __init__(self, refusal: Refusal, param: str = ""):
        super().__init__(refusal.text)
        self.refusal = refusal
        self.param = param


Handler = Callable[[Request], Answer]


def make_error(status: int, code: str, text: str, param: str = "") -> HttpError:
    """Make an error of a request that was not run."""
    return HttpError(Refusal(status, code, text, "no"), param)


def answer_json(value: object, status: int = 200) -> Answer:
    """Answer with a value as JSON."""
    return Answer(status, [msgspec.json.encode(value)])


def answer_error(refusal: Refusal, param: str = "") -> Answer:
    """Answer with an error in the shape that OpenAI's clients read."""
    headers = [("Content-Type", JSON)]
    if refusal.retry_s > 0:
        headers.append(("Retry-After", str(max(1, round(refusal.retry_s + 0.5)))))
        headers.append(("Retry-After-Ms", str(round(refusal.retry_s * 1000))))
    body = msgspec.json.encode({"error": describe_error(refusal, param)})
    return Answer(refusal.status, [body], tuple(headers))


def describe_error(refusal: Refusal, param: str = "") -> dict[str, object]:
    """Describe a refusal as the error object of an answer or of a stream."""
    kind = "invalid_request_error" if refusal.status < 429 else "server_error"
    return {
        "message": refusal.text,
        "type": "rate_limit_error" if refusal.status == 429 else kind,
        "code": refusal.code,
        "param": param or None,
        "ran": refusal.ran,
        "retry_after_s": round(refusal.retry_s, 3) if refusal.retry_s else None,
    }


class _CallerGateway(Gateway_10):
    """Gives the application the means to see its caller leave, and to be counted."""

    def get_environ(self) -> dict:
        """Make the environment of a request."""
        conn = self.req.conn
        descriptor, reading = conn.socket.fileno(), conn.reading
        reading.has_head = True
        more = {
            CALLER_LEFT: lambda: reading.has_given_way or is_closed_by_peer(descriptor),
            READING: reading,
        }
        return super().get_environ() | more


def make_wsgi(handle: Handler, body_limit: int) -> Callable:
    """Make a WSGI application of a handler.

    Args:
        handle: Answers a request; may raise `HttpError`.
        body_limit: Longest body that is read, bytes.
    """

    def serve(environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            answer = handle(_read_request(environ, body_limit))
        except HttpError as error:
            answer = answer_error(error.refusal, error.param)
        except CallerLeftError:
            # It may have closed its sending half only, and still read.
            answer = answer_error(CALLER_LEFT_REFUSAL)
        start_response(_write_status(answer.status), list(answer.headers))
        return answer.body

    return serve


def make_server(
    address: str,
    handle: Handler,
    threads: int,
    body_limit: int,
    certificate: str = "",
    key: str = "",
    limits: ThreadLimits | None = None,
) -> CallerThreads:
    """Make an HTTP server that is ready to `serve`.

    Args:
        address: Where it listens.
        handle: Answers a request; may raise `HttpError`.
        threads: Requests that are served at a time.
        body_limit: Longest body that is read, bytes.
        certificate: Certificate file, empty for plain HTTP.
        key: Its private key file.
        limits: The account of the process; None for one of the server's own.
    """
    host, _, port = address.rpartition(":")
    server = CallerThreads(
        (host, int(port)),
        make_wsgi(handle, body_limit),
        numthreads=threads,
        max=threads,
        request_queue_size=QUEUE_SIZE,
        timeout=RECEIVE_TIMEOUT_S,
        shutdown_timeout=None,
    )
    server.limits = limits or make_thread_limits()
    server.gateway = _CallerGateway
    server.max_request_header_size = 64 * 1024
    if certificate:
        adapter = BuiltinSSLAdapter(certificate, key)
        adapter.context.minimum_version = ssl.TLSVersion.TLSv1_2
        server.ssl_adapter = adapter
    server.prepare()
    return server


def _read_request(environ: dict, body_limit: int) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=_read_body(environ, body_limit),
        has_caller_left=environ[CALLER_LEFT],
    )


def _read_body(environ: dict, body_limit: int) -> bytes:
    length = parse_whole(environ.get("CONTENT_LENGTH") or "0")
    if length is None:
        raise make_error(400, "bad_length", "Content-Length is not a number")
    if length > body_limit:
        text = f"the body is longer than {body_limit} bytes"
        raise make_error(413, "body_too_long", text)
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    wanted = body_limit + 1 if chunked else length
    reading = environ[READING]
    try:
        body = _read_pieces(environ["wsgi.input"], wanted, reading)
    except (OSError, ValueError) as error:
        # A chunk that is not waited for any longer is malformed to the server library.
        if not reading.has_given_way:
            text = f"the body did not arrive: {error}"
            raise make_error(408, "body_incomplete", text) from None
    if reading.has_given_way:
        raise HttpError(_refuse_unread(reading))
    reading.server.limits.note_whole(reading, len(body))
    if len(body) > body_limit:
        text = f"the body is longer than {body_limit} bytes"
        raise make_error(413, "body_too_long", text)
    if not chunked and len(body) < wanted:
        raise make_error(400, "body_incomplete", "the body ended early")
    return body


def _refuse_unread(reading: Reading) -> Refusal:
    """Make the refusal of a request whose body isn't waited for any longer."""
    if reading.server.is_stopping:
        text = "the server stopped before the whole body came"
        return Refusal(503, "stopping", text, "no", STOPPED_RETRY_S)
    text = "callers send more at once than can be taken"
    return Refusal(503, "crowded_out", text, "no", CROWDED_OUT_RETRY_S)


def _read_pieces(source: IO[bytes], wanted: int, reading: Reading) -> bytes:
    """Read a body piece by piece, so that it is counted as it comes."""
    pieces, count = [], 0
    while count < wanted and not reading.has_given_way:
        piece = source.read(min(BODY_PIECE_BYTES, wanted - count))
        if not piece:
            break
        pieces.append(piece)
        count += len(piece)
        reading.server.limits.note_coming(reading, count)
    return b"".join(pieces)


def _write_status(status: int) -> str:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}"
