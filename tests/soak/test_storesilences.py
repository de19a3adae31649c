"""Connections to the store that go silent, on gateways as processes."""

import asyncio

import pytest

from soak.storesilences import play


@pytest.mark.parametrize(("seed", "rounds"), [(1, 6), (2, 3)])
def test_gateways_whose_connections_to_the_store_went_silent_know_what_it_says(
    seed, rounds, tmp_path
):
    rounds = asyncio.run(play(seed, rounds, tmp_path))
    assert [late for played in rounds for late in played.late] == []
    assert all(played.counted > 50 for played in rounds)
