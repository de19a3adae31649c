"""Usage as a gateway counts and reports it, before a stand-in of the platform's API."""

import asyncio
from contextlib import asynccontextmanager

from robinspindle.gatewaysettings import DutySettings, HostPort, Pledges
from standins.dutyapi import DutyApi
from tests.platform.deployment import deploy, run, until
from tests.platform.test_workspaces import KEY, OTHER, bearer, make_document, put

WINDOW_S = 0.5
LATE_S = 2.5
LEASE_S = 0.3


@asynccontextmanager
async def report(tmp_path, trouble=""):
    """Run a gateway that owes reports, with two workspaces and a replica."""
    api = DutyApi()
    api.trouble = trouble
    await api.server.start()
    duties = DutySettings(HostPort("127.0.0.1", api.server.port), WINDOW_S, LATE_S)
    pledges = Pledges(repeat_slack=320.0, lease_s=LEASE_S)
    async with deploy(tmp_path, configured=False, pledges=pledges, duties=duties) as d:
        await put(d, make_document())
        await d.add("i1")
        try:
            yield d, api
        finally:
            await api.server.stop()


def sum_by_workspace(api):
    """Add up all reports by workspace; a repeat that is exact counts once."""
    values = {}
    for taken in api.reports:
        assert values.setdefault(taken.window, taken.counts) == taken.counts
    totals = {}
    for counts in values.values():
        for workspace, count in counts.items():
            totals[workspace] = totals.get(workspace, 0) + count
    return totals


def test_what_began_to_run_is_reported_by_workspace(tmp_path):
    async def play():
        async with report(tmp_path) as (d, api):
            for _ in range(3):
                await d.call("/safe/x", **bearer(KEY))
            await d.call("/safe/x", **bearer(OTHER))
            await d.call("/safe/x", **bearer("nobody"))
            await d.call("/free/x")
            await until(lambda: sum_by_workspace(api) == {"red": 3, "blue": 1})

    run(play())


def test_what_no_target_ran_is_not_counted_and_a_second_sending_counts_once(tmp_path):
    async def play():
        async with report(tmp_path) as (d, api):
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

    run(play())


def test_an_api_that_is_away_gets_the_same_value_later(tmp_path):
    async def play():
        async with report(tmp_path, trouble="lost") as (d, api):
            await d.call("/safe/x", **bearer(KEY))
            await until(lambda: sum_by_workspace(api) == {"red": 1})
            api.trouble = "busy"
            await d.call("/safe/x", **bearer(KEY))
            await asyncio.sleep(0.7)
            api.trouble = ""
            await until(lambda: sum_by_workspace(api) == {"red": 2})

    run(play())


def test_a_report_lies_in_the_store_before_it_is_sent(tmp_path):
    """A store that is away holds reports back; nothing is sent that it lacks."""

    async def play():
        async with report(tmp_path) as (d, api):
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

    run(play())


def test_fences_of_one_gateway_never_fall(tmp_path):
    async def play():
        async with report(tmp_path) as (d, api):
            await until(lambda: len(api.reports) >= 3)
            fences = [taken.fence for taken in api.reports]
            assert fences == sorted(fences)
            assert {taken.holder for taken in api.reports} == {"gateway-1"}

    run(play())
