"""``scripts/bench doors``: an event loop against a thread a request, as an HTTP door.

Two processes forward the same requests to the same stand-in and decide nothing: one
with the product's server and client on an event loop, one with cheroot and urllib3.
Processor time and memory are read from outside, and how long each takes to carry a
caller's hang-up on to the target.
"""

import asyncio
import subprocess
import sys
import time

import urllib3
from cheroot.wsgi import Server

from benches.measure import ROOT, read_cpu, read_memory, save_data
from robinspindle.connectionpool import ConnectionPool, borrow
from robinspindle.gatewaysettings import HostPort
from robinspindle.httpclient import Exchange
from robinspindle.httpserver import CallerServer
from robinspindle.platform.dialect import decode_answer
from robinspindle.replies import Reply
from robinspindle.requestparser import Incoming, Limits
from robinspindle.tables import format_table
from standins.fleet import find_free_ports
from standins.replica import Replica

LOOP = "event loop, httptools"
THREADS = "cheroot, urllib3"
DOORS = (LOOP, THREADS)

CALLERS = 16
"""Connections that call at the same time."""

REQUESTS = 4000
"""Requests that are measured, of all callers together."""

WARM_UP_SHARE = 10
"""As many requests as one in this many are made before, unmeasured."""

BODY = b"x" * 18_000
"""The body of a usual digest on the users' platform, bytes."""

THREADS_OF_CHEROOT = 64
"""Threads, so that each caller of this measurement has several."""

START_S = 10.0
"""Longest wait for a door to listen, seconds."""

CONNECT_S = 1.0
"""Longest wait for a connection to the target, seconds."""

HANG_UP_WAIT_S = 3.0
"""How long a hang-up is waited for at the target, seconds."""

LIFETIME = "i1"


def serve_door(door: str, port: int, target: int) -> None:
    """Forward requests from a port to another until the process ends."""
    if door == LOOP:
        asyncio.run(_serve_on_loop(port, target))
    else:
        _serve_with_threads(port, target)


async def _serve_on_loop(port: int, target: int) -> None:
    pool = ConnectionPool(HostPort("127.0.0.1", target), decode_answer)

    async def handle(incoming: Incoming, reply: Reply) -> None:
        exchange = Exchange(dict(incoming.headers)[b"X-Request-Id"].decode())
        data = _write_again(incoming)
        async with borrow(pool, time.monotonic, CONNECT_S) as connection:
            connection.send(exchange, data)
            head = await exchange.read_head()
            body = await exchange.read_body()
        reply.begin(head.status, head.reason, head.headers, len(body))
        reply.write(body)
        reply.end()

    server = CallerServer(handle, Limits(), time.monotonic)
    await server.start("127.0.0.1", port)
    await asyncio.Event().wait()


def _write_again(incoming: Incoming) -> bytes:
    lines = [incoming.method.encode() + b" " + incoming.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in incoming.headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + incoming.body


def _serve_with_threads(port: int, target: int) -> None:
    http = urllib3.PoolManager(maxsize=THREADS_OF_CHEROOT, retries=False)

    def answer(environ: dict, start_response) -> list[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        response = http.request(
            environ["REQUEST_METHOD"],
            f"http://127.0.0.1:{target}{environ['PATH_INFO']}",
            body=environ["wsgi.input"].read(length),
            headers=_read_headers(environ),
        )
        start_response(f"{response.status} OK", list(response.headers.items()))
        return [response.data]

    server = Server(("127.0.0.1", port), answer, numthreads=THREADS_OF_CHEROOT)
    # Its own default closes all kept connections but ten.
    server.keep_alive_conn_limit = THREADS_OF_CHEROOT
    server.start()


def _read_headers(environ: dict) -> dict[str, str]:
    """Read a caller's headers but the one that concerns its connection alone."""
    return {
        name.removeprefix("HTTP_").replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith("HTTP_") and name != "HTTP_CONNECTION"
    }


def run_doors() -> None:
    """Measure both doors, print the table and keep the run as data."""
    rows = [asyncio.run(_measure(door)) for door in DOORS]
    names = ("door", "processor ms a request", "MB", "requests/s", "hang-up ms")
    print(format_table(names, rows))
    save_data("doors", {"requests": REQUESTS, "columns": names, "rows": rows})


async def _measure(door: str) -> tuple:
    target = Replica(LIFETIME, "push")
    await target.server.start()
    port = find_free_ports(1)[0]
    process = _start_door(door, port, target.server.port)
    try:
        await _wait_until_up(port)
        await _call_many(port, REQUESTS // WARM_UP_SHARE)
        cpu, begun = read_cpu(process.pid), time.monotonic()
        await _call_many(port, REQUESTS)
        seconds = time.monotonic() - begun
        cpu_ms = (read_cpu(process.pid) - cpu) * 1000 / REQUESTS
        memory = read_memory(process.pid)
        hang_up = await _hang_up(port, target)
        return (
            door,
            round(cpu_ms, 3),
            round(memory, 1),
            round(REQUESTS / seconds),
            hang_up,
        )
    finally:
        process.terminate()
        process.wait()
        await target.server.stop()


def _start_door(door: str, port: int, target: int) -> subprocess.Popen:
    command = [sys.executable, "-m", "benches.doors", door, str(port), str(target)]
    return subprocess.Popen(command, cwd=ROOT, env={"PYTHONPATH": f"{ROOT}/src"})


async def _wait_until_up(port: int) -> None:
    async with asyncio.timeout(START_S):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return


async def _call_many(port: int, count: int) -> None:
    await asyncio.gather(*(_call(port, count // CALLERS) for _ in range(CALLERS)))


async def _call(port: int, count: int) -> None:
    """Make requests one after the other on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(count):
        writer.write(_write_request(f"r{number}"))
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        await reader.readexactly(int(length))
    writer.close()


async def _hang_up(port: int, target: Replica) -> str:
    """Hang up while the target works, and time how soon it learns of that."""
    target.behaviours.append("held")
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(_write_request("left"))
    while target.behaviours:
        await asyncio.sleep(0.01)
    writer.transport.abort()
    begun = time.monotonic()
    while not target.closed and time.monotonic() - begun < HANG_UP_WAIT_S:
        await asyncio.sleep(0.005)
    target.gate.set()
    if not target.closed:
        return f"not within {HANG_UP_WAIT_S * 1000:.0f}"
    return f"{(time.monotonic() - begun) * 1000:.0f}"


def _write_request(id: str) -> bytes:
    head = (
        f"POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n"
        f"X-Expect-Instance: {LIFETIME}\r\nX-Deadline-Ms: 2000\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


if __name__ == "__main__":
    serve_door(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
