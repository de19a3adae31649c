"""Stand-in plain service: counts every call that it runs, by idempotency key."""

import json
import threading
import time

from standins.http import Reply, serve, to_json


class StandInService:
    """One replica of a plain service."""

    def __init__(self, delay_s: float):
        self._delay_s = delay_s
        self._lock = threading.Lock()
        self._faults: dict = {}
        self.journal: list[dict] = []

    def route(self, method: str, path: str, query: dict, body: bytes) -> Reply:
        """Answer one call."""
        if path == "/journal":
            return 200, to_json(self.journal)
        if path == "/faults":
            self._faults = json.loads(body)
            return 200, b"{}"
        with self._lock:
            self.journal.append(
                {"kind": "call", "method": method, "path": path, "body": body.decode()}
            )
        time.sleep(self._faults.get("delay_s", self._delay_s))
        if self._faults.get("lose_answers"):
            raise ConnectionResetError
        return 200, to_json({"ok": True, "path": path, "echo": body.decode()})


def run_service(port: int, delay_s: float) -> None:
    """Serve a plain service until the process ends."""
    serve(port, StandInService(delay_s).route)
