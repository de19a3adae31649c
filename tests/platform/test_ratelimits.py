"""Targets that name a limit on the requests per second that they take."""

import pytest

from tests.platform.deployment import KINDS, deploy, run

HOUR_S = 3600.0


@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_target_that_names_a_limit_gets_no_more_than_that(
    tmp_path, path, service, role
):
    async def scenario():
        async with deploy(tmp_path) as d:
            limited = await d.add("t1", service, role)
            limited.limit_per_s = 1 / HOUR_S
            headers = d.prompt() if role else {}
            assert (await d.call(path, id="first", **headers)).status == 200
            for number in range(10):
                reply = await d.call(path, id=f"r{number}", **headers)
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0
            assert len(limited.arrivals) == 1
            other = await d.add("t2", service, role)
            for number in range(10):
                reply = await d.call(path, id=f"s{number}", **headers)
                assert reply.status == 200
            assert len(limited.arrivals) == 1
            assert len(other.arrivals) == 10

    run(scenario())
