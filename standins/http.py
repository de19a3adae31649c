"""A small HTTP server for the stand-ins, on the standard library."""

import json
import socketserver
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlsplit

Reply = tuple[int, bytes | Iterator[bytes]]
Route = Callable[[str, str, dict[str, str], bytes], Reply]


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256


def serve(port: int, route: Route) -> None:
    """Serve on the loopback until the process ends.

    Args:
        port: The port.
        route: Called with method, path, query and body; returns status and body.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _answer(self) -> None:
            parts = urlsplit(self.path)
            query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length) if length else b""
            query["idempotency"] = self.headers.get("Idempotency-Key", "")
            status, answer = route(self.command, parts.path, query, body)
            self.send_response(status)
            if isinstance(answer, bytes):
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)
                return
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for part in answer:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(part), part))
                self.wfile.flush()
            self.wfile.write(b"0\r\n\r\n")

        do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = _answer  # noqa: N815

        def log_message(self, *args: object) -> None:
            pass

    with _Server(("127.0.0.1", port), Handler) as server:
        server.serve_forever(poll_interval=0.1)


def to_json(value: object) -> bytes:
    """Encode a value as JSON."""
    return json.dumps(value).encode()
