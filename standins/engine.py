"""Stand-in model engine: an HTTP server around a running batch.

``POST /faults`` sets what goes wrong: ``crash_in_change`` (the next order leaves the
engine in its first state, under a new boot name), ``stall_s`` (the next order is
slow), ``break_streams`` (break off all streams now), ``lose_order_answer``.
"""

import json
import os
import threading
import time
import uuid
from collections.abc import Iterator

import urllib3

from standins.batching import Batch, Sequence, Speed, digest_prompt
from standins.http import Reply, serve, to_json

ROLE_CHANGE_S = 2.0
CACHE_EVENT_LAG_S = 1.0
CACHE_EVENT_GAP = 7
IMPORTS_KEPT = 256


class StandInEngine:
    """One engine."""

    def __init__(self, model: str, fencing: str, slots: int, change_s: float):
        self._first = {"role": "mixed", "model": model, "adapters": [], "version": "1"}
        self._state = dict(self._first)
        self._fencing = fencing
        self._change_s = change_s
        self._fence = -1
        self._busy = False
        self._boot = uuid.uuid4().hex[:8]
        self._batch = Batch(Speed(), slots)
        self._lock = threading.Lock()
        self._faults: dict = {}
        self._generation = 0
        self._imported: dict[str, float] = {}
        self._event_times: list[float] = []
        self.journal: list[dict] = []

    def route(self, method: str, path: str, query: dict, body: bytes) -> Reply:
        """Answer one call."""
        if path == "/generate":
            return self._generate(json.loads(body))
        if path == "/state":
            return 200, to_json(self._describe())
        if path == "/orders":
            return self._order(json.loads(body))
        if path == "/cancel":
            self._batch.remove(json.loads(body)["id"])
            return 200, b"{}"
        if path == "/cache/events":
            return 200, to_json(self._list_events(int(query["from"])))
        if path == "/cache/import":
            self._import(json.loads(body)["cache"])
            return 200, b"{}"
        if path == "/journal":
            return 200, to_json(self.journal)
        if path == "/faults":
            self._set_faults(json.loads(body))
            return 200, b"{}"
        return 404, b"{}"

    def _describe(self) -> dict:
        return self._state | {"busy": self._busy, "boot": self._boot}

    def _generate(self, body: dict) -> Reply:
        if self._busy:
            self.journal.append({"kind": "harm", "id": body["id"], "why": "busy"})
            return 503, b"{}"
        self.journal.append({"kind": "run", "id": body["id"], "at": time.time()})
        resumed = len(body["resumed"])
        tokens = max(1, len(body["prompt"]) // 4) + resumed
        if body["stage"] == "decode" and self._imported.pop(body["cache"], None):
            tokens = 0
        digest = digest_prompt(body["prompt"])
        sequence = Sequence(
            id=body["id"],
            digest=digest,
            unread=float(tokens),
            total=body["max_tokens"],
            next=resumed,
            priority=body["priority"],
            stage=body["stage"],
        )
        self._batch.add(sequence, body["prefix"], body["prefix_tokens"])
        return 200, self._stream(sequence, body)

    def _stream(self, sequence: Sequence, body: dict) -> Iterator[bytes]:
        generation = self._generation
        while True:
            with sequence.changed:
                while not sequence.out:
                    sequence.changed.wait(1.0)
                    if generation != self._generation:
                        raise ConnectionResetError
                items = list(sequence.out)
                sequence.out.clear()
            if generation != self._generation:
                raise ConnectionResetError
            for text in items:
                if text is not None:
                    yield to_json({"text": text}) + b"\n"
            if items[-1] is None:
                if body["stage"] == "prefill":
                    self._export(body["export_to"], body["cache"])
                yield to_json({"done": "stop"}) + b"\n"
                return

    def _export(self, address: str, cache: str) -> None:
        url = f"http://{address}/cache/import"
        urllib3.request("POST", url, body=to_json({"cache": cache}), timeout=2.0)

    def _import(self, cache: str) -> None:
        self._imported[cache] = time.time()
        if len(self._imported) > IMPORTS_KEPT:
            del self._imported[next(iter(self._imported))]

    def _order(self, order: dict) -> Reply:
        with self._lock:
            entry = {
                "kind": "order",
                "fence": order["fence"],
                "action": order["action"],
            }
            if self._fencing == "checked" and order["fence"] < self._fence:
                self.journal.append(entry | {"refused": True})
                return 409, b"{}"
            if self._batch.load or self._busy:
                harm = "order in flight" if self._busy else "requests in flight"
                self.journal.append({"kind": "harm", "why": harm})
            self._fence = max(self._fence, order["fence"])
            self._busy = True
            self.journal.append(entry | {"at": time.time()})
        time.sleep(self._faults.pop("stall_s", self._change_s))
        if self._faults.pop("crash_in_change", False):
            self._state = dict(self._first)
            self._boot = uuid.uuid4().hex[:8]
            self._busy = False
            raise ConnectionResetError
        if order["action"] == "role":
            self._state["role"] = order["role"]
        elif order["action"] == "load":
            self._state["model"] = order["model"]
            self._state["adapters"] = order["adapters"]
            self._state["version"] = order["version"] or self._state["version"]
        self._batch.role = self._state["role"]
        self._busy = False
        if self._faults.pop("lose_order_answer", False):
            raise ConnectionResetError
        return 200, to_json(self._describe())

    def _list_events(self, start: int) -> dict:
        """List cache events: late, and some are missing."""
        now = time.monotonic()
        events = self._batch.events
        while len(self._event_times) < len(events):
            self._event_times.append(now)
        due = sum(1 for at in self._event_times if now - at >= CACHE_EVENT_LAG_S)
        shown = [
            event
            for number, event in enumerate(events[start:due], start)
            if number % CACHE_EVENT_GAP != CACHE_EVENT_GAP - 1
        ]
        return {
            "next": max(start, due),
            "added": [prefix for kind, prefix in shown if kind == "added"],
            "removed": [prefix for kind, prefix in shown if kind == "removed"],
        }

    def _set_faults(self, faults: dict) -> None:
        if faults.pop("exit", False):
            os._exit(3)
        if faults.pop("break_streams", False):
            self._generation += 1
            self._batch.clear()
        self._faults = faults


def run_engine(
    port: int, model: str, fencing: str, slots: int, change_s: float
) -> None:
    """Serve an engine until the process ends."""
    serve(port, StandInEngine(model, fencing, slots, change_s).route)
