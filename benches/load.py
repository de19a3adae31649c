"""Callers for the measurements: streamed answers, timed token by token."""

import json
import threading
import time
from dataclasses import dataclass, field

import urllib3

from benches.chats import make_answer, send_chat


@dataclass
class Timing:
    """What one caller saw.

    Attributes:
        kind: The kind of work.
        begun: When it was sent, seconds since the run's start.
        first_s: Time to the first token.
        gaps: Times between tokens.
        total_s: Time to the whole answer.
        end: ``whole``, ``wrong``, or the code of a refusal.
        ran: What a refusal said.
        came_back: Whether the caller came back when it was told to.
    """

    kind: str
    begun: float
    first_s: float = 0.0
    gaps: list[float] = field(default_factory=list)
    total_s: float = 0.0
    end: str = ""
    ran: str = ""
    came_back: bool = False


@dataclass(frozen=True)
class Ask:
    """One request to send.

    Attributes:
        kind: The kind of work.
        workspace: Whose it is.
        prompt: The prompt, or the body of a call.
        tokens: Tokens to generate; 0 for a call of a service.
        promised_s: When the caller needs the whole answer.
        key: Idempotency key, empty for none.
    """

    kind: str
    workspace: str
    prompt: str
    tokens: int
    promised_s: float
    key: str = ""


class Callers:
    """Sends requests from threads and keeps their timings."""

    def __init__(self, model: str, service: str, urls: list[str]):
        self.timings: list[Timing] = []
        self._model = model
        self._service = service
        self._urls = urls
        self._begun = time.monotonic()
        self._threads: list[threading.Thread] = []
        self._http = urllib3.PoolManager(maxsize=512, retries=False)

    def send(self, ask: Ask, number: int) -> None:
        """Send one request in a thread of its own."""
        thread = threading.Thread(target=self._serve, args=(ask, number))
        self._threads.append(thread)
        thread.start()

    def join(self) -> None:
        """Wait for all answers."""
        for thread in self._threads:
            thread.join()

    def _serve(self, ask: Ask, number: int) -> None:
        timing = Timing(ask.kind, time.monotonic() - self._begun)
        sent = time.monotonic()
        retry_s = self._try(ask, number, timing, sent)
        left_s = ask.promised_s - (time.monotonic() - sent)
        if timing.ran == "no" and 0 < retry_s < left_s:
            time.sleep(retry_s)
            timing.came_back = True
            timing.end = timing.ran = ""
            self._try(ask, number + 1, timing, sent)
        timing.total_s = time.monotonic() - sent
        self.timings.append(timing)

    def _try(self, ask: Ask, number: int, timing: Timing, sent: float) -> float:
        url = self._urls[number % len(self._urls)]
        headers = {"Authorization": f"Bearer demo-{ask.workspace}"}
        if ask.key:
            headers["Idempotency-Key"] = ask.key
        try:
            if ask.tokens:
                return self._generate(url, headers, ask, timing, sent)
            return self._call(url, headers, ask, timing, sent)
        except urllib3.exceptions.HTTPError as error:
            timing.end, timing.ran = type(error).__name__, "unknown"
            return 0.0

    def _call(self, url, headers, ask: Ask, timing: Timing, sent: float) -> float:
        response = self._http.request(
            "POST",
            f"{url}/services/{self._service}/send",
            body=ask.prompt.encode(),
            headers=headers,
            timeout=60,
        )
        if response.status != 200:
            return _note_refusal(timing, json.loads(response.data)["error"])
        timing.first_s = time.monotonic() - sent
        timing.end = "whole"
        return 0.0

    def _generate(self, url, headers, ask: Ask, timing: Timing, sent: float) -> float:
        response = send_chat(
            self._http, url, self._model, ask.prompt, ask.tokens, headers
        )
        if response.status != 200:
            error = json.loads(response.read())["error"]
            response.release_conn()
            return _note_refusal(timing, error)
        text = self._read(response, timing, sent)
        response.release_conn()
        expected = make_answer(ask.prompt, ask.tokens)
        if not timing.end:
            timing.end = "whole" if text == expected else "wrong"
        return 0.0

    def _read(self, response, timing: Timing, sent: float) -> str:
        texts = []
        last = 0.0
        rest = b""
        for chunk in response.stream(None):
            now = time.monotonic()
            *events, rest = (rest + chunk).split(b"\n\n")
            for event in events:
                data = event.partition(b"data: ")[2]
                if b'"error"' in data[:9]:
                    _note_refusal(timing, json.loads(data)["error"])
                elif data.startswith(b"{"):
                    delta = json.loads(data)["choices"][0]["delta"]
                    texts.append(delta.get("content") or "")
            if not last:
                timing.first_s = now - sent
            else:
                timing.gaps.append(now - last)
            last = now
        return "".join(texts)


def _note_refusal(timing: Timing, error: dict) -> float:
    timing.end = error["code"]
    timing.ran = error["ran"]
    return error.get("retry_after_s") or 0.0
