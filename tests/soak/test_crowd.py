"""Most new connections at one gateway, on gateways as processes."""

import asyncio

from soak.crowd import Plan, play

LEAST_KEPT = 0.75
"""Share of what was served before at the first attempt that was read."""


def test_requests_are_served_while_most_connections_go_to_one_slow_gateway(tmp_path):
    plan = Plan(seconds=8.0, per_s=250.0, cpu_share=0.2)
    played = asyncio.run(play(6, plan, tmp_path))
    before, after = played.find_shares()
    assert after >= LEAST_KEPT * before
    assert played.account.unread == 0
