"""Requests that stay in their gateway's availability zone, or leave it."""

from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from robinspindle.core.policy import Policy
from robinspindle.core.zoneplacement import Leaving
from robinspindle.zonechoices import UNWEIGHED
from robinspindle.zonetraffic import TrafficCause
from standins.replica import Replica
from tests.platform.deployment import deploy, run, until


@asynccontextmanager
async def deploy_zones(tmp_path, weighs_zones=True):
    async with deploy(tmp_path) as d:
        # On a busy machine, a target at home may look slow.
        policy = Policy(weighs_zones=weighs_zones, learns_paces=False)
        settings = replace(d.gateway.settings, policy=policy)
        d.reread = lambda: settings
        d.gateway.reload()
        yield d


async def add_in_zone(d, zone, lifetime, **more):
    replica = Replica(lifetime, **more)
    await replica.server.start()
    d.replicas[lifetime] = replica
    await d.store.put("keyed.servers", lifetime, replica.describe(zone=zone))
    await until(lambda: d.knows(lifetime))
    return replica


def count_left(d, service, reason):
    return d.gateway.metrics.left_zone.labels(service, reason)._value.get()


@pytest.mark.parametrize("kind", ["safe", "chat"])
def test_requests_stay_at_home_and_leave_a_zone_that_has_no_target(tmp_path, kind):
    service, role = {"safe": ("push", ""), "chat": ("lm", "decode")}[kind]

    async def scenario():
        async with deploy_zones(tmp_path) as d:
            headers = d.prompt() if kind == "chat" else {}
            away = await add_in_zone(d, "b", "i2", service=service, role=role)
            reply = await d.call(f"/{kind}/x", id="r1", **headers)
            assert reply.status == 200
            assert count_left(d, service, Leaving.NO_TARGET) == 1
            counts = d.gateway.traffic.counts
            assert counts[TrafficCause.REQUESTS] > 0 < counts[TrafficCause.ANSWERS]
            home = await add_in_zone(d, "a", "i1", service=service, role=role)
            for number in range(5):
                # What the other target has cached may draw a prompt there.
                headers = d.prompt(parts=f"p{number}:160") if headers else {}
                await d.call(f"/{kind}/x", id=f"s{number}", **headers)
            assert len(home.arrivals) == 5
            assert len(away.arrivals) == 1

    run(scenario())


def test_requests_that_leave_unweighed_are_counted_so(tmp_path):
    async def scenario():
        async with deploy_zones(tmp_path, weighs_zones=False) as d:
            await add_in_zone(d, "b", "i2", service="push", role="")
            assert (await d.call("/safe/x")).status == 200
            assert count_left(d, "push", UNWEIGHED) == 1

    run(scenario())
