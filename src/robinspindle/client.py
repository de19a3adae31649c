"""The operators' side of the operators' API."""

from typing import Any

import urllib3

from robinspindle.core.decoding import make_json_decoder
from robinspindle.exceptions import ApiError, BadDocumentError
from robinspindle.httpcalls import UpstreamCalls

TIMEOUT_S = 15.0
STARTING = 503


_decode_answer = make_json_decoder(Any)


class OperatorClient:
    """Calls the operators' API of any entry that answers.

    A query or a confirmation may go to any entry: what is agreed is in the log.
    """

    def __init__(self, entries: list[str], bearer: str, ca_file: str = ""):
        self._entries = [entry.rstrip("/") for entry in entries]
        self._headers = {"Authorization": f"Bearer {bearer}"}
        options = {"ca_certs": ca_file} if ca_file else {}
        self._calls = UpstreamCalls(**options)

    def get(self, path: str) -> Any:
        """Query the first entry that answers."""
        return self._call_any("GET", path, None)

    def get_from_all(self, path: str) -> list[Any]:
        """Query every entry; those that can't be reached or start are left out."""
        answers = []
        for entry in self._entries:
            try:
                answers.append(self._call(entry, "GET", path, None))
            except urllib3.exceptions.HTTPError:
                continue
            except ApiError as error:
                if error.status != STARTING:
                    raise
        if not answers:
            raise ApiError(0, f"no entry answers: {' '.join(self._entries)}")
        return answers

    def post(self, path: str, body: bytes = b"") -> Any:
        """Send a command to the first entry that can be connected to."""
        return self._call_any("POST", path, body)

    def _call_any(self, method: str, path: str, body: bytes | None) -> Any:
        failure = "no entry is named"
        for entry in self._entries:
            try:
                return self._call(entry, method, path, body)
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as error:
                failure = str(error)
            except urllib3.exceptions.HTTPError as error:
                text = f"{entry} broke off ({error}); look before you try again"
                raise ApiError(0, text) from None
        raise ApiError(0, f"no entry answers: {failure}")

    def _call(self, entry: str, method: str, path: str, body: bytes | None) -> Any:
        response = self._calls.call(
            method,
            f"{entry}/admin/{path}",
            body=body,
            headers=self._headers,
            timeout=TIMEOUT_S,
        )
        try:
            value = _decode_answer(response.data)
        except BadDocumentError:
            raise ApiError(response.status, "the answer is not JSON") from None
        if response.status >= 400:
            error = value.get("error", {}) if isinstance(value, dict) else {}
            message = error.get("message") or value.get("reason") or "refused"
            raise ApiError(response.status, message, value)
        return value
