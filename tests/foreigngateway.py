"""A gateway that is not started: a test hands it what comes from outside.

What it has taken in is then used by all that uses it: digests for peers, metrics,
previews of requests, records for the store.
"""

import asyncio
import json
import os

from robinspindle.boundedoutput import BoundedOutput
from robinspindle.core import versionrecords
from robinspindle.core.peervalidation import are_facts_valid, find_fault
from robinspindle.exceptions import BadDocumentError
from robinspindle.gateway import Gateway
from robinspindle.gatewaypages import update_gauges
from robinspindle.gatewaysettings import DutySettings, GatewaySettings, HostPort
from robinspindle.metrics import format_metrics
from robinspindle.peerlink import decode
from robinspindle.platform import store as topics
from robinspindle.platform.adapter import PlatformAdapter
from robinspindle.previewreports import Question
from robinspindle.previews import preview_request
from robinspindle.replies import Reply
from tests.platform.deployment import HOST, KINDS, make_configuration

PEER = ("127.0.0.2", 9)
"""Where the other gateway is, which every one knows."""

MAX_UDP_BYTES = 65_507
"""Largest datagram, bytes; a larger one is not sent."""

MAX_STORE_KEY_BYTES = 255
"""Longest key of a record, bytes."""

ENTRY = {
    "Service": "push",
    "Address": "127.0.0.9:80",
    "Zone": "a",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
    "Stage": "",
    "born": 1777867435133,
}
"""A sound entry of a target."""

ENGINE_ENTRY = ENTRY | {"Service": "lm", "Stage": "decode", "Address": "127.0.0.9:81"}

CONFIGURATION = make_configuration(Tenants=[{"Name": "desk", "ApiKeys": ["k" * 32]}])
"""A sound configuration, with keys: peers then tell its version."""

_OUTPUT = BoundedOutput(os.open(os.devnull, os.O_WRONLY))


class ForeignGateway:
    """One gateway, with a configuration, two targets and a peer.

    Attributes:
        gateway: The gateway.
        sent: Datagrams that it has sent.
    """

    def __init__(self):
        callers, ready, store = (HostPort("127.0.0.1", port) for port in (1, 2, 3))
        settings = GatewaySettings(
            name="g1",
            zone="a",
            ip="127.0.0.1",
            callers=callers,
            readiness=ready,
            store=store,
            inner_ports=(10, 11),
            memory_mb=300.0,
            duties=DutySettings(HostPort("127.0.0.1", 4), 5.0, 10.0),
        )
        self.sent = []
        self.gateway = Gateway(settings, PlatformAdapter(), _OUTPUT, lambda: settings)
        self.gateway._link.connection_made(self)
        self._appliers = {f.topic: f.apply for f in self.gateway._followers}
        self.configure()
        self.apply(topics.TARGETS_TOPIC, "i1", _dump(ENTRY))
        self.apply(topics.TARGETS_TOPIC, "e1", _dump(ENGINE_ENTRY))
        introduction = f"{PEER[0]}:{PEER[1]} b 2".encode()
        self.apply(topics.GATEWAYS_TOPIC, "g2", introduction)

    def configure(self):
        """Put a sound configuration in force."""
        self.apply(topics.CONFIGURATION_TOPIC, "config", _dump(CONFIGURATION))

    def sendto(self, data, address):
        """Stand for the socket, which takes only addresses and ports."""
        host, port = address
        assert host.count(".") == 3 and host.replace(".", "").isdigit()
        assert 0 < port <= 65535
        assert len(data) <= MAX_UDP_BYTES
        self.sent.append(data)

    def apply(self, topic, key, value):
        """Take in a record of the store."""
        self._appliers[topic](key, value)

    def take_duty_record(self, key, value):
        """Take in a record of the duties' topic."""
        self.gateway.duties._log._take(key, value)

    def receive(self, data):
        """Take in a datagram of the peer."""
        self.gateway._link.datagram_received(data, PEER)

    def use(self):
        """Use all that was taken in, as the tasks of a running gateway do."""
        gateway = self.gateway
        for _ in range(3):
            # What is told now and then is told this time.
            gateway.peers.learnt_told_at = gateway.peers.speeds_told_at = -1e9
            gateway.guard.settle(gateway._clock())
            gateway._tell_news(gateway._clock())
        update_gauges(gateway.metrics, gateway._list_measured(), gateway._clock())
        format_metrics(gateway.metrics.registry)
        self._check_version_keys()
        self.preview()
        self._check_sent()

    def preview(self, **headers):
        """Preview a request of each kind."""
        pairs = [("Host", HOST), ("X-Request-Id", "r1"), *headers.items()]
        pairs += [("X-Model", "m"), ("X-Token-Count", "160,3")]
        pairs.append(("Authorization", "Bearer " + "k" * 32))
        for path, _, _ in KINDS:
            question = Question("POST", path, pairs)
            admission = self.gateway.relay.admission
            try:
                preview_request(admission, question, Reply(None, True))
            except BadDocumentError:
                continue

    def _check_version_keys(self):
        fleet = self.gateway.fleet
        services = versionrecords.list_resumable_services(fleet.table)
        known = self.gateway.versions.records
        for version in versionrecords.list_missing(
            known, fleet.directory, services, 0
        ) + list(known.noted):
            key = versionrecords.make_key(version)
            assert len(key.encode()) <= MAX_STORE_KEY_BYTES

    def _check_sent(self):
        """Check that peers would believe all that it tells them."""
        assert self.sent
        for data in self.sent:
            bundle = decode(data)
            assert [find_fault(digest) for digest in bundle.digests] == [None]
            assert bundle.facts is None or are_facts_valid(bundle.facts)
        self.sent.clear()


def _dump(value):
    return json.dumps(value).encode()


def run(coroutine):
    """Run a scenario."""
    return asyncio.run(coroutine)
