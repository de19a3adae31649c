"""Stand-in for a replica: a process of its own, so that it can be killed.

It follows the users' pages: it checks ``X-Expect-Instance``, answers with the request's
id and a seal, and streams events with rising ids. What it takes up and makes is written
to a file, a JSON line each, before it is sent.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import time


class Replica:
    def __init__(self, args):
        self.args = args
        self.log = open(args.log, "a", buffering=1)
        self.numbers = itertools.count(1)
        self.running = 0
        self.places = asyncio.Semaphore(args.slots) if args.slots else None
        self.handles = itertools.count(1)

    def note(self, what, **fields):
        line = {"at": round(time.time(), 4), "replica": self.args.id, "what": what}
        self.log.write(json.dumps(line | fields) + "\n")

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head[:-4].decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                keep = await self.answer(method, target, headers, body, writer)
                await writer.drain()
                if not keep:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        id = headers.get("x-request-id", "")
        own = f"X-Request-Id: {id}\r\nX-Instance-Id: {self.args.id}\r\n" if id else ""
        if not id and target.startswith("/kv-list"):
            data = b'{"epoch":"1","NextPageToken":0,"held":[]}'
            writer.write(_head(200, len(data), own) + data)
            return True
        if not id:
            writer.write(_head(400, 0, "X-Not-Executed: 1\r\n"))
            return True
        if headers.get("x-expect-instance", self.args.id) != self.args.id:
            writer.write(_head(421, 0, own + "X-Not-Executed: 1\r\n"))
            return True
        own += f"X-Response-Seal: s.{self.args.id}.{id}\r\n"
        if self.places and self.running >= self.args.slots + self.args.queue:
            self.note("full", id=id)
            writer.write(_head(503, 0, own + "X-Not-Executed: 1\r\n"))
            return True
        if not self.args.stream:
            self.note("run", id=id, target=target)
            self.running += 1
            try:
                async with self.places or contextlib.nullcontext():
                    await asyncio.sleep(self.args.work_ms / 1000)
            finally:
                self.running -= 1
            data = b"answer to " + id.encode()
            data += b"." * max(0, self.args.body_bytes - len(data))
            writer.write(_head(200, len(data), own))
            for start in range(0, len(data), 65536):
                writer.write(data[start : start + 65536])
                await writer.drain()
            self.note("ran", id=id)
            return True
        return await self.stream(id, target, headers, own, writer)

    async def stream(self, id, target, headers, own, writer):
        number = next(self.numbers)
        every = self.args.unframed_every
        framed = not (every and number % every == 0)
        after = int(headers.get("last-event-id") or 0)
        total = self.args.events
        self.note("run", id=id, target=target, after=after, total=total, framed=framed)
        own += "Content-Type: text/event-stream\r\n"
        if framed:
            own += "Transfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{own}\r\n".encode())
        for event in range(after + 1, total + 1):
            await asyncio.sleep(self.args.gap_ms / 1000)
            if writer.transport.is_closing():
                self.note("left", id=id)
                return False
            pad = "." * self.args.pad
            data = f"id: {event}\ndata: {id} {event} of {total} {pad}\n\n".encode()
            self.note("event", id=id, event=event)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framed else data)
            await writer.drain()
        if framed:
            writer.write(b"0\r\n\r\n")
        self.note("ran", id=id)
        return framed


def _head(status, length, headers):
    return f"HTTP/1.1 {status} Phrase\r\nContent-Length: {length}\r\n{headers}\r\n".encode()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--stream", action="store_true")
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument("--gap-ms", type=float, default=60)
    parser.add_argument("--work-ms", type=float, default=15)
    parser.add_argument("--slots", type=int, default=0)
    parser.add_argument("--body-bytes", type=int, default=0)
    parser.add_argument("--queue", type=int, default=0)
    parser.add_argument("--pad", type=int, default=0)
    parser.add_argument("--unframed-every", type=int, default=0)
    args = parser.parse_args()
    replica = Replica(args)
    server = await asyncio.start_server(replica.serve, args.host, args.port)
    replica.note("started")
    async with server:
        await server.serve_forever()


asyncio.run(main())
