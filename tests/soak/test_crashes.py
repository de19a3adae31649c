"""Requests that crash whoever runs them, on gateways as processes.

Users saw that one caller, who repeated the same request at any gateway, ended a target
with each try: 12 in 10 s, and all that ran there with them. Each gateway counted the
targets of one attempt and put each end down to the target; the next attempt was a new
request. Two such callers, four tries a second for 20 s, ended 45 and 42 targets, and
others were served at 0.29 (measured by `python -m soak.crashes`).
"""

import asyncio

import pytest

from soak.crashes import Plan, play

MOST_CRASHES = 4
"""Lives that one request may end: three by which it is found out, and one more whose
sending crosses the news."""


@pytest.mark.parametrize("seed", [1, 2])
def test_a_request_that_crashes_targets_is_soon_sent_nowhere(seed, tmp_path):
    played = asyncio.run(play(seed, Plan(seconds=8.0), tmp_path))
    assert played.oracle.findings == []
    crashes = {body: len(times) for body, times in played.account.crashes.items()}
    assert len(crashes) == 2
    assert max(crashes.values()) <= MOST_CRASHES


def test_what_many_ask_for_is_served_while_targets_crash_for_their_own_reasons(
    tmp_path,
):
    played = asyncio.run(play(5, Plan(seconds=8.0, innocent=True), tmp_path))
    outcomes = played.oracle.outcomes
    assert outcomes["safe"][200] > 50
    assert outcomes["digest"][200] > 50
    assert played.turned_away == 0
