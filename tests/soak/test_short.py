"""A short soak with fixed seeds, and every seed that ever failed."""

import asyncio

import pytest

from soak.__main__ import play

SHORT = ((1, 6), (2, 6))

REGRESSIONS = (
    # The soak started one gateway twice when faults on it overlapped.
    (203, 12),
    (308, 12),
    (510, 12),
    # Two soaks side by side took the same port.
    (505, 12),
)
"""Seeds and steps that failed once, each with its cause."""


@pytest.mark.parametrize(("seed", "steps"), SHORT + REGRESSIONS)
def test_nothing_is_seen_that_must_not_be(seed, steps, tmp_path):
    oracle = asyncio.run(play(seed, steps, tmp_path))
    assert oracle.findings == []
    assert all(oracle.outcomes[kind][200] for kind in ("safe", "once", "chat"))


def test_a_long_configuration_comes_into_force_over_slow_links(tmp_path):
    oracle = asyncio.run(play(1, 6, tmp_path, has_slow_links=True))
    assert oracle.findings == []
