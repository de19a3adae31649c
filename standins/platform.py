"""Stand-in platform: the log service, the list of VMs and the weight store.

``POST /faults`` with a JSON object sets what goes wrong: ``outage`` (bool),
``slow_s``, ``lose_answers`` (share of appends that take effect unanswered),
``trim`` (keep only so many records of each stream), ``cut`` (names of processes
that can't reach it).
"""

import base64
import json
import random
import threading
import time
from dataclasses import dataclass, field

from standins.http import Reply, serve, to_json

APPENDS_PER_S = 500
WEIGHT_LOAD_S = 1.0
GIVE_UP_S = 3.0


@dataclass
class Stream:
    """One stream: records from an offset on."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)

    @property
    def next(self) -> int:
        """Offset of the next append."""
        return self.first + len(self.records)


class Platform:
    """The platform's state."""

    def __init__(self, seed: int, retention: int):
        self._rng = random.Random(seed)
        self._retention = retention
        self._streams: dict[str, Stream] = {}
        self._changed = threading.Condition()
        self._faults: dict = {}
        self._vms: dict[str, str] = {}
        self._tokens = float(APPENDS_PER_S)
        self._filled_at = time.monotonic()
        self._weights = threading.Lock()

    def route(self, method: str, path: str, query: dict, body: bytes) -> Reply:
        """Answer one call.

        A process that reaches the platform as ``/for/NAME/...`` can be cut off alone.
        """
        if path.startswith("/for/"):
            name, _, path = path.removeprefix("/for/").partition("/")
            path = f"/{path}"
            if name in self._faults.get("cut", ()):
                return 503, b"{}"
        if path == "/faults":
            self._faults = json.loads(body)
            self._trim_all()
            return 200, b"{}"
        if path.startswith("/streams/"):
            return self._route_stream(
                method, path.removeprefix("/streams/"), query, body
            )
        if path == "/vms":
            if method == "POST":
                self._vms.update(json.loads(body))
            vms = [{"name": name, "state": s} for name, s in self._vms.items()]
            return 200, to_json(vms)
        if path.startswith("/weights/"):
            with self._weights:
                time.sleep(WEIGHT_LOAD_S)
            return 200, b"{}"
        return 404, b"{}"

    def _route_stream(self, method: str, name: str, query: dict, body: bytes) -> Reply:
        if self._faults.get("outage"):
            return 503, b"{}"
        time.sleep(self._faults.get("slow_s", 0))
        if method == "POST":
            return self._append(name, body)
        return self._read(name, int(query["from"]), float(query["wait"]))

    def _append(self, name: str, body: bytes) -> Reply:
        with self._changed:
            if not self._take_token():
                return 429, b"{}"
            stream = self._streams.setdefault(name, Stream())
            offset = stream.next
            stream.records.append(body)
            self._trim(stream, self._retention)
            self._changed.notify_all()
        if self._rng.random() < self._faults.get("lose_answers", 0):
            time.sleep(GIVE_UP_S)
            return 504, b"{}"
        return 200, to_json({"offset": offset})

    def _read(self, name: str, start: int, wait_s: float) -> Reply:
        with self._changed:
            stream = self._streams.setdefault(name, Stream())
            self._changed.wait_for(
                lambda: stream.next > start or self._faults.get("outage"), wait_s
            )
            if self._faults.get("outage"):
                return 503, b"{}"
            records = stream.records[max(0, start - stream.first) :]
            answer = {
                "first": stream.first,
                "next": stream.next,
                "start": start,
                "records": [base64.b64encode(r).decode() for r in records],
            }
        return 200, to_json(answer)

    def _take_token(self) -> bool:
        now = time.monotonic()
        grown = self._tokens + (now - self._filled_at) * APPENDS_PER_S
        self._tokens = min(APPENDS_PER_S, grown)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _trim_all(self) -> None:
        with self._changed:
            for stream in self._streams.values():
                self._trim(stream, self._faults.get("trim", self._retention))
            self._changed.notify_all()

    def _trim(self, stream: Stream, keep: int) -> None:
        surplus = max(0, len(stream.records) - keep)
        del stream.records[:surplus]
        stream.first += surplus


def run_platform(port: int, seed: int, retention: int) -> None:
    """Serve the platform until the process ends."""
    serve(port, Platform(seed, retention).route)
