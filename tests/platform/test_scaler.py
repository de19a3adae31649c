"""Orders that set the number of targets, against a stand-in of the platform's API."""

import asyncio

from robinspindle.gatewaysettings import DutySettings, HostPort, Pledges
from standins.dutyapi import DutyApi
from standins.rawhttp import LOOPBACK
from tests.platform.deployment import deploy, make_configuration, run, until

BOUNDS = {"Min": 1, "Max": 4, "BootS": 0.5}


def make_document(version=1, bounds=None):
    document = make_configuration(version)
    for service in document["Services"]:
        if service["Name"] == "push" and bounds is not None:
            service["Scaling"] = bounds
    return document


def run_scenario(tmp_path, scenario, bounds):
    async def main():
        api = DutyApi()
        await api.server.start()
        duties = DutySettings(HostPort(LOOPBACK, api.server.port), 5.0, 10.0)
        pledges = Pledges(repeat_slack=320.0, lease_s=0.6)
        async with deploy(
            tmp_path, configured=False, pledges=pledges, duties=duties
        ) as d:
            await d.store.put("keyed.op", "config", make_document(1, bounds))
            await until(lambda: d.version == 1)
            replica = await d.add("i1")
            await scenario(d, api, replica)
        await api.server.stop()

    run(main())


async def hold_many(d, replica, count):
    """Have a replica hold a number of requests, and return their calls."""
    replica.behaviours += ["held"] * count
    calls = [asyncio.create_task(d.call("/once/x", id=f"r{n}")) for n in range(count)]
    await until(lambda: len(replica.arrivals) >= count)
    return calls


def test_targets_for_a_higher_load_are_ordered_under_the_claim_of_one_holder(tmp_path):
    async def scenario(d, api, replica):
        calls = await hold_many(d, replica, 12)
        await until(lambda: api.orders and api.orders[-1].desired == 4)
        order = api.orders[-1]
        assert (order.service, order.zone, order.holder) == ("push", "a", "gateway-1")
        assert order.fence > 0
        before = len(api.orders)
        await asyncio.sleep(1.0)
        assert len(api.orders) == before
        replica.gate.set()
        await asyncio.gather(*calls)

    run_scenario(tmp_path, scenario, BOUNDS)


def test_nothing_is_ordered_for_a_service_without_bounds(tmp_path):
    async def scenario(d, api, replica):
        calls = await hold_many(d, replica, 12)
        await asyncio.sleep(1.0)
        assert not api.orders
        replica.gate.set()
        await asyncio.gather(*calls)

    run_scenario(tmp_path, scenario, None)


def test_an_order_without_a_response_is_sent_again(tmp_path):
    async def scenario(d, api, replica):
        api.trouble = "reset"
        calls = await hold_many(d, replica, 12)
        await asyncio.sleep(0.5)
        api.trouble = ""
        await until(lambda: api.orders and api.orders[-1].desired == 4)
        replica.gate.set()
        await asyncio.gather(*calls)

    run_scenario(tmp_path, scenario, BOUNDS)
