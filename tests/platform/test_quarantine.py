"""The quarantine in the store: it outlives gateways, and operators release entries."""

import argparse
import asyncio
import time

import pytest

from robinspindle.core import quarantine
from robinspindle.core.causes import Cause
from robinspindle.core.fingerprints import FingerprintedRequest
from robinspindle.core.forwarding import Request
from robinspindle.exceptions import NotQuarantinedError
from robinspindle.platform.store import GATEWAYS_TOPIC
from robinspindle.quarantinelisting import format_entries, read_entries, release_entry
from tests.platform.deployment import HOST, deploy, run, until

BODY = b"a body that crashes"

SILENCE_S = 1.5
"""How long a target is silent, seconds: longer than any silence that is noticed."""


def make_entry(body=BODY, age_s=0.0):
    request = Request("r", "POST", b"/safe/x", HOST, (), body, None, 0.0)
    fingerprint = FingerprintedRequest(request).fingerprint
    crashed, at_ms = {"i1", "i2", "i3"}, time.time_ns() // 1_000_000
    at_ms -= int(age_s * 1000)
    return quarantine.make_entry(Cause(fingerprint), crashed, f"{HOST}/safe/x", at_ms)


async def put(store, entry):
    key, value = quarantine.make_key(entry.fingerprint), quarantine.encode_entry(entry)
    await store.put(GATEWAYS_TOPIC, key, value)


def list_stored(d):
    topic = d.store._find(GATEWAYS_TOPIC).newest
    return [key for key in topic if quarantine.is_key(key)]


def test_a_gateway_that_starts_later_rejects_quarantined_requests(tmp_path):
    async def scenario():
        async with deploy(tmp_path, prepare=lambda s: put(s, make_entry())) as d:
            target = await d.add("push0")
            await until(lambda: d.gateway.is_ready)
            assert (await d.call("/safe/x", body=BODY)).status == 503
            assert (await d.call("/safe/x", body=b"other")).status == 200
            assert len(target.arrivals) == 1

    run(scenario())


def test_a_new_quarantine_entry_is_written_to_the_store(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            for number in range(4):
                await d.add(f"push{number}", crashes_on=BODY)
            for number in range(4):
                await d.call("/safe/x", id=f"r{number}", body=BODY)
            await until(lambda: list_stored(d))
            (entry,) = await read_entries(d.gateway._store, GATEWAYS_TOPIC)
            assert len(entry.lifetimes) == 3
            assert entry.name == f"{HOST}/safe/x"

    run(scenario())


def test_an_operator_lists_and_releases_entries(tmp_path):
    async def scenario():
        async with deploy(tmp_path, prepare=lambda s: put(s, make_entry())) as d:
            await d.add("push0")
            await until(lambda: d.gateway.is_ready)
            store = d.gateway._store
            (entry,) = await read_entries(store, GATEWAYS_TOPIC)
            digits = entry.fingerprint.hex()[:8]
            assert digits in format_entries([entry])
            await release_entry(store, GATEWAYS_TOPIC, digits, 7)
            known = d.gateway.guard.quarantine
            await until(lambda: not quarantine.list_quarantined(known))
            assert (await d.call("/safe/x", body=BODY)).status == 200
            assert await read_entries(store, GATEWAYS_TOPIC) == []
            with pytest.raises(NotQuarantinedError):
                await release_entry(store, GATEWAYS_TOPIC, digits, 8)

    run(scenario())


def test_a_trial_runs_at_one_target_only_though_that_is_silent(tmp_path):
    async def scenario():
        entry = make_entry(age_s=2 * quarantine.FIRST_TRIAL_DELAY_S)
        async with deploy(tmp_path, prepare=lambda s: put(s, entry)) as d:
            targets = [await d.add(name) for name in ("push0", "push1")]
            for target in targets:
                target.behaviours.append("held")
            await until(lambda: d.gateway.is_ready)
            call = asyncio.ensure_future(d.call("/safe/x", body=BODY))
            await asyncio.sleep(SILENCE_S)
            assert sum(len(target.arrivals) for target in targets) == 1
            for target in targets:
                target.gate.set()
            await call

    run(scenario())


def test_the_command_line_has_both_actions():
    from robinspindle.cli import make_parser

    args = make_parser().parse_args(["quarantine", "release", "s.toml", "0011"])
    assert isinstance(args, argparse.Namespace)
    assert args.fingerprint == "0011"
    assert asyncio.iscoroutinefunction(release_entry)
