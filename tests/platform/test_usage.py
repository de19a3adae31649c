"""Usage that a gateway counts and reports, to a stand-in of the platform's API."""

import asyncio
from contextlib import asynccontextmanager

from robinspindle.core import usage
from robinspindle.gatewaysettings import DutySettings, HostPort, Pledges
from standins.dutyapi import DutyApi
from standins.rawhttp import LOOPBACK
from tests.platform.deployment import deploy, run, until
from tests.platform.test_workspaces import KEY, OTHER, bearer, make_document, put

WINDOW_S = 0.5
LATE_S = 2.5
LEASE_S = 0.3


@asynccontextmanager
async def deploy_reporting(tmp_path, trouble=""):
    """Run a gateway that reports usage, with two workspaces and a replica."""
    api = DutyApi()
    api.trouble = trouble
    await api.server.start()
    duties = DutySettings(HostPort(LOOPBACK, api.server.port), WINDOW_S, LATE_S)
    pledges = Pledges(repeat_slack=320.0, lease_s=LEASE_S)
    async with deploy(tmp_path, configured=False, pledges=pledges, duties=duties) as d:
        await put(d, make_document())
        await d.add("i1")
        try:
            yield d, api
        finally:
            await api.server.stop()


def sum_by_workspace(api):
    """Add up all reports by workspace; an exact duplicate counts once."""
    values = {}
    for received in api.reports:
        assert values.setdefault(received.window, received.counts) == received.counts
    totals = {}
    for counts in values.values():
        for workspace, count in counts.items():
            totals[workspace] = totals.get(workspace, 0) + count
    return totals


def test_requests_that_started_are_reported_by_workspace(tmp_path):
    async def scenario():
        async with deploy_reporting(tmp_path) as (d, api):
            for _ in range(3):
                await d.call("/safe/x", **bearer(KEY))
            await d.call("/safe/x", **bearer(OTHER))
            await d.call("/safe/x", **bearer("nobody"))
            await d.call("/free/x")
            await until(lambda: sum_by_workspace(api) == {"red": 3, "blue": 1})

    run(scenario())


def test_rejected_requests_do_not_count_and_retried_ones_count_once(tmp_path):
    async def scenario():
        async with deploy_reporting(tmp_path) as (d, api):
            replica = d.replicas["i1"]
            replica.behaviours += ["full", "full", "full"]
            await d.call("/safe/x", **bearer(KEY))
            replica.behaviours.clear()
            await d.add("i2")
            replica.behaviours.append("error")
            d.replicas["i2"].behaviours.append("error")
            await d.call("/safe/x", **bearer(OTHER))
            await until(lambda: sum_by_workspace(api) == {"blue": 1})
            await asyncio.sleep(2 * WINDOW_S)
            assert sum_by_workspace(api) == {"blue": 1}

    run(scenario())


def test_a_request_that_began_at_two_targets_beside_each_other_counts_once(tmp_path):
    async def scenario():
        async with deploy_reporting(tmp_path) as (d, api):
            targets = [d.replicas["i1"], await d.add("i2")]
            for target in targets:
                target.behaviours.append("held")
            call = asyncio.ensure_future(d.call("/safe/x", **bearer(KEY)))
            await until(lambda: any(target.arrivals for target in targets))
            targets.sort(key=lambda target: not target.arrivals)
            targets[1].behaviours[0] = "error"
            await until(lambda: targets[1].arrivals)
            await until(lambda: d.gateway.book.ledger.counts)
            targets[0].gate.set()
            assert (await call).status == 200
            ledger = d.gateway.book.ledger
            windows = usage.list_windows(ledger)
            counts = [usage.sum_by_workspace(ledger, window) for window in windows]
            assert counts == [{"red": 1}]

    run(scenario())


def test_an_unavailable_api_gets_the_same_report_later(tmp_path):
    async def scenario():
        async with deploy_reporting(tmp_path, trouble="lost") as (d, api):
            await d.call("/safe/x", **bearer(KEY))
            await until(lambda: sum_by_workspace(api) == {"red": 1})
            api.trouble = "busy"
            await d.call("/safe/x", **bearer(KEY))
            await asyncio.sleep(0.7)
            api.trouble = ""
            await until(lambda: sum_by_workspace(api) == {"red": 2})

    run(scenario())


def test_a_report_is_written_to_the_store_before_it_is_sent(tmp_path):
    """While the store is unavailable, no report is sent that it does not contain."""

    async def scenario():
        async with deploy_reporting(tmp_path) as (d, api):
            await until(lambda: api.reports)
            d.store.trouble = "silent"
            await d.call("/safe/x", **bearer(KEY))
            await asyncio.sleep(0.2)
            before = len(api.reports)
            await asyncio.sleep(1.0)
            assert len(api.reports) <= before + 1
            assert not sum_by_workspace(api)
            d.store.trouble = ""
            await until(lambda: sum_by_workspace(api) == {"red": 1})

    run(scenario())


def test_fencing_tokens_of_one_gateway_never_decrease(tmp_path):
    async def scenario():
        async with deploy_reporting(tmp_path) as (d, api):
            await until(lambda: len(api.reports) >= 3)
            fences = [received.fence for received in api.reports]
            assert fences == sorted(fences)
            assert {received.holder for received in api.reports} == {"gateway-1"}

    run(scenario())
