"""Signals, held ports and spoiled settings around starts, on gateways as processes."""

import asyncio

import pytest

from soak.starts import play


@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_around_a_start_ends_a_gateway_or_loses_requests(seed, tmp_path):
    starts = asyncio.run(play(seed, 7, tmp_path))
    assert starts.oracle.findings == []
    outcomes = starts.oracle.outcomes
    assert all(outcomes[kind][200] for kind in ("safe", "once", "chat"))
