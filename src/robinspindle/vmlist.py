"""The platform's list of live and leaving VMs, which lags behind reality."""

import contextlib
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import urllib3

from robinspindle.core.decoding import make_json_decoder
from robinspindle.exceptions import BadDocumentError
from robinspindle.httpcalls import UpstreamCalls, UpstreamLimits

POLL_S = 1.0
TIMEOUT_S = 2.0
MOST_LIST_BYTES = 8 << 20
"""Longest list: some thousand VMs take a tenth of it."""
LEAVING = "leaving"


class ListedVm(msgspec.Struct):
    """One line of the platform's list."""

    name: str
    state: str


_decode_vms = make_json_decoder(list[ListedVm])


@dataclass(frozen=True)
class VmsListed:
    """The list as it was last read: names of the VMs that are leaving."""

    leaving: tuple[str, ...]


class ListFollower(threading.Thread):
    """Reads the list again and again and posts who is leaving."""

    def __init__(self, url: str, post: Callable[[VmsListed], None]):
        super().__init__(name="vm-list", daemon=True)
        self._url = url
        self._post = post
        self._calls = UpstreamCalls(UpstreamLimits(MOST_LIST_BYTES), maxsize=1)

    def run(self) -> None:
        """Follow the list for as long as the process lives."""
        while True:
            # A list that can't be read says nothing against anybody.
            with contextlib.suppress(urllib3.exceptions.HTTPError, BadDocumentError):
                self._post(self._read())
            time.sleep(POLL_S)

    def _read(self) -> VmsListed:
        response = self._calls.call("GET", self._url, timeout=TIMEOUT_S)
        vms = _decode_vms(response.data)
        return VmsListed(tuple(vm.name for vm in vms if vm.state == LEAVING))
