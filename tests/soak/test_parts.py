"""Prompts with a part that crashes engines, on gateways as processes."""

import asyncio

import pytest

from soak.parts import Plan, play

MOST_LATE = 3
"""Requests with a crashing part that may reach engines though all had to know it."""

LEAST_KEPT = 0.5
"""Share of the sound prompts served before that has to be served again by then."""


@pytest.mark.parametrize(("seed", "is_first"), [(1, False), (2, True)])
def test_requests_that_share_a_crashing_part_soon_reach_no_engine(
    seed, is_first, tmp_path
):
    played = asyncio.run(play(seed, Plan(is_first=is_first), tmp_path))
    assert played.oracle.findings == []
    assert played.account.count_too_late(b"bad0") <= MOST_LATE
    before, after = played.find_shares()
    assert after >= LEAST_KEPT * before


def test_prompts_go_on_while_engines_crash_for_their_own_reasons(tmp_path):
    plan = Plan(seconds=10.0, parts=(), event_s=0.1, own_crashes=True)
    played = asyncio.run(play(5, plan, tmp_path))
    # Callers report a refusal that blames them as a finding.
    assert played.oracle.findings == []
    assert played.account.find_share(("chat",), 0.0, played.ended_at).served > 50
