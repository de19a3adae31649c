"""Connections to replicas that go silent for good while new ones work."""

import asyncio
import random

import pytest

from robinspindle.gatewaysettings import Pledges
from soak.proxy import Proxy
from standins.rawhttp import LOOPBACK
from standins.replica import Replica
from tests.platform.deployment import deploy, run, until

CONTACT_S = 1.0


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_no_request_goes_out_on_a_connection_that_went_silent_long_ago(tmp_path, path):
    """It would be lost, and one that may run only once not sent elsewhere."""

    async def scenario():
        pledges = Pledges(contact_s=CONTACT_S, repeat_slack=1000.0)
        async with deploy(tmp_path, pledges=pledges) as d:
            replica = Replica("i1", "push")
            replica.keep_alive_s = 60
            await replica.server.start()
            link = Proxy(replica.server.port)
            await link.start()
            entry = replica.describe() | {"Address": f"{LOOPBACK}:{link.port}"}
            await d.store.put("keyed.servers", "i1", entry)
            await until(lambda: d.knows("i1"))
            assert (await d.call(path, id="r1")).status == 200
            assert link.silence(random.Random(0)) == 1
            await asyncio.sleep(CONTACT_S)
            async with asyncio.timeout(CONTACT_S):
                assert (await d.call(path, id="r2")).status == 200
            await link.stop()
            await replica.server.stop()

    run(scenario())
