"""Gateways as processes bear what others write to the platform's store."""

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from contextlib import asynccontextmanager

import msgspec
import pytest

from robinspindle.core.fingerprints import FINGERPRINT_BYTES
from robinspindle.core.peerdigests import Datagram, Digest
from robinspindle.peerlink import encode
from soak.gateways import ROOT, prepare_gateway
from standins.logstore import LogStore
from standins.rawhttp import LOOPBACK
from standins.replica import Replica
from tests.foreigninputs import DEEPEST, LONGEST, nest
from tests.platform.deployment import make_configuration, read_reply, write_request

TIMEOUT_S = 20.0
"""Time after which a test that hangs fails, seconds; no test depends on its value."""

SERVERS, GATEWAYS, ORDERS = "keyed.servers", "keyed.gateways", "keyed.orders"

ENTRY = {
    "Service": "push",
    "Address": "127.0.0.1:9",
    "Zone": "a",
    "Version": "v1",
    "Slots": 4,
    "State": "draining",
    "ColdRemainingMs": 0,
    "Sequence": 1,
}

NESTED = b'{"Later":%b}' % nest(DEEPEST)


def make_entry(**changes):
    return json.dumps(ENTRY | changes).encode()


LATE = b'{"standing":"quarantined","at_ms":%d}' % 2**70

ODD_RECORDS = {
    SERVERS: {
        "digits": make_entry(Address="127.0.0.1:" + "1" * LONGEST),
        "zeros": make_entry(Address="127.0.0.1:" + "0" * LONGEST + "80"),
        "nested": b'{"Later":%b}' % nest(8000),
        "version": make_entry(
            Service="lm", Stage="decode", Version="v" * 300, State="ready"
        ),
        "born": make_entry()[:-1] + b',"born":%b}' % (b"1" * 4000),
    },
    GATEWAYS: {
        "digits": b"127.0.0.1:" + b"1" * LONGEST + b" a 1",
        "host": b"a" * 100 + b":9 a 1",
        "zeros": b"127.0.0.1:" + b"0" * LONGEST + b"9 a 1",
        "quarantine/" + "00" * FINGERPRINT_BYTES: NESTED,
        "quarantine/" + "01" * FINGERPRINT_BYTES: LATE,
        "version/4/pushv9": NESTED,
        "version/" + "9" * 240: b'{"use":"begins","era":0}',
    },
    ORDERS: {"roles": b"\xff" * LONGEST, "other": NESTED},
}
"""Records that no gateway and no target writes, by topic and key."""

LATER_RECORDS = {
    SERVERS: ("later", make_entry()),
    GATEWAYS: ("later", b"127.0.0.9:9 b 1"),
    ORDERS: None,
}
"""A sound record behind them, whose key the log of who reads it has to name."""


class Gateways:
    """Two gateways, started as the deploy file says."""

    def __init__(self, folder, store):
        self._found = [prepare_gateway(folder, f"g{n}", store) for n in (1, 2)]
        self._processes = []

    async def start(self):
        for gateway in self._found:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/gateway.py",
                "--metrics-port",
                "0",
                "--policy",
                "deploy/policy.ini",
                cwd=ROOT,
                env=os.environ | {"ROBINSPINDLE_CONFIG": str(gateway.settings)},
                stdout=gateway.log.open("wb"),
                stderr=asyncio.subprocess.STDOUT,
            )
            self._processes.append(process)

    async def stop(self):
        for process in self._processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()

    def check_alive(self):
        for gateway, process in zip(self._found, self._processes, strict=True):
            last = gateway.log.read_bytes()[-500:]
            assert process.returncode is None, last

    async def until_all_log(self, text):
        async with asyncio.timeout(TIMEOUT_S):
            while not all(text in g.log.read_bytes() for g in self._found):
                self.check_alive()
                await asyncio.sleep(0.05)

    def send_all(self, data):
        """Send a datagram to both sockets of each gateway, from a peer's address."""
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind((LOOPBACK, 0))
            for gateway in self._found:
                ports = tomllib.loads(gateway.settings.read_text())["InternalPorts"]
                for port in ports:
                    sock.sendto(data, (LOOPBACK, port))

    async def until_all_serve(self):
        async with asyncio.timeout(TIMEOUT_S):
            for gateway in self._found:
                while await _call(gateway.callers) != 200:
                    self.check_alive()
                    await asyncio.sleep(0.05)


async def _call(port):
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        return 0
    try:
        writer.write(write_request("POST", "/safe/x", "r1", b"hello", {}))
        return (await read_reply(reader)).status
    finally:
        writer.close()


@asynccontextmanager
async def deploy(folder, store=None):
    """Run a store and a replica; the gateways are started by the test."""
    store, replica = store or LogStore(), Replica("i1", "push", "")
    await store.server.start()
    await replica.server.start()
    gateways = Gateways(folder, store.server.port)
    try:
        limit_s = TIMEOUT_S * 2
        async with asyncio.timeout(limit_s):
            await store.put("keyed.op", "config", make_configuration())
            await store.put(SERVERS, "i1", replica.describe("ready"))
            yield store, gateways
    finally:
        await gateways.stop()
        await replica.server.stop()
        await store.server.stop()


async def put_all(store, topic):
    for key, value in ODD_RECORDS[topic].items():
        await store.put(topic, key, value)
    if LATER_RECORDS[topic]:
        await store.put(topic, *LATER_RECORDS[topic])


async def check_later(gateways, topic):
    if LATER_RECORDS[topic]:
        await gateways.until_all_log(b'"later"')


@pytest.mark.parametrize("topic", list(ODD_RECORDS))
def test_an_odd_record_that_is_there_keeps_no_gateway_from_starting(tmp_path, topic):
    async def scenario():
        async with deploy(tmp_path) as (store, gateways):
            await put_all(store, topic)
            await gateways.start()
            await gateways.until_all_serve()
            await check_later(gateways, topic)
            await gateways.until_all_log(b"peer heard")
            gateways.check_alive()

    asyncio.run(scenario())


@pytest.mark.parametrize("topic", list(ODD_RECORDS))
def test_an_odd_record_neither_ends_a_gateway_nor_stops_its_reading(tmp_path, topic):
    async def scenario():
        async with deploy(tmp_path) as (store, gateways):
            await gateways.start()
            await gateways.until_all_serve()
            await put_all(store, topic)
            await check_later(gateways, topic)
            # A record may be used only a while after it was read.
            await asyncio.sleep(2.0)
            await gateways.until_all_serve()
            gateways.check_alive()

    asyncio.run(scenario())


ODD_PAGES = (nest(DEEPEST), NESTED, b'{"items":[],"HasMore":false,"End":1e400}', b"")
"""Answers in place of pages of the newest records."""


class OddStore(LogStore):
    """A store that first answers with odd pages, and marks a value as odd in others."""

    def __init__(self):
        super().__init__()
        self.odd = list(ODD_PAGES)

    def _list_newest(self, query):
        if self.odd:
            return 200, self.odd.pop()
        status, body = super()._list_newest(query)
        page = json.loads(body)
        page["items"].append({"Key": "zz", "Value": "no base64!", "Offset": 0})
        return status, json.dumps(page).encode()


def test_a_store_that_answers_oddly_neither_ends_gateways_nor_keeps_them_waiting(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path, OddStore()) as (_, gateways):
            await gateways.start()
            await gateways.until_all_serve()
            gateways.check_alive()

    asyncio.run(scenario())


def make_datagram(**changes):
    digest = Digest("g1", 1e10, 1 << 50, [], [])
    return encode(Datagram("g1", [msgspec.structs.replace(digest, **changes)]))


ODD_DATAGRAMS = (
    b"\x92\xa2g1" + b"\x91" * 60_000,
    b"\x81\xa1a" * 20_000,
    make_datagram(started=1e308),
    make_datagram(prefill_loads={"lm": float("inf")}),
    make_datagram(topic_ends={"keyed.op": 2**63}),
    make_datagram(timed_out_targets=["i1@" + "9" * 5000]),
    bytes(range(256)),
    b"",
)


def test_odd_datagrams_end_no_gateway(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as (store, gateways):
            await gateways.start()
            await gateways.until_all_serve()
            await gateways.until_all_log(b"peer heard")
            for data in ODD_DATAGRAMS:
                gateways.send_all(data)
            await store.put(SERVERS, *LATER_RECORDS[SERVERS])
            await check_later(gateways, SERVERS)
            await asyncio.sleep(1.0)
            await gateways.until_all_serve()
            gateways.check_alive()

    asyncio.run(scenario())
