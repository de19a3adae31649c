"""Replicas that send answers which belong to no request."""

import pytest

from standins.replica import Surplus
from tests.platform.deployment import KINDS, deploy, run

CALLS = 6
"""More than replicas, so that connections are used again."""

FORMS = [
    Surplus(status, id, is_marked)
    for status, is_marked in ((503, True), (421, True), (400, True), (500, False))
    for id in ("", "earlier")
] + [Surplus(200, "", False)]


@pytest.mark.parametrize("surplus", FORMS, ids=str)
@pytest.mark.parametrize(("path", "service", "role"), KINDS)
def test_a_surplus_answer_where_the_next_is_due_makes_nothing_run_twice(
    tmp_path, path, service, role, surplus
):
    async def scenario():
        async with deploy(tmp_path) as d:
            replicas = [await d.add(f"i{n}", service, role) for n in (1, 2)]
            for replica in replicas:
                replica.surplus = surplus
            headers = d.prompt() if role else {}
            for number in range(CALLS):
                reply = await d.call(path, id=f"r{number}", **headers)
                assert (reply.status, reply.is_whole) == (200, True)
                assert f"r{number}".encode() in reply.body
            ran = [r.headers["x-request-id"] for i in replicas for r in i.arrivals]
            assert sorted(ran) == [f"r{number}" for number in range(CALLS)]

    run(scenario())
