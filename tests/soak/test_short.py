"""A short soak with fixed seeds, and every seed that ever failed."""

import asyncio

import pytest

from soak.__main__ import play
from soak.faults import (
    CRASH_FAULTS,
    CROWD_FAULTS,
    ERA_FAULTS,
    KEY_FAULTS,
    RESTART_FAULTS,
    exchange_keys,
)

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


SLOW_LINKS = (
    (1, 6),
    # The store's stand-in brought all versions that a gateway had missed in one answer.
    (3019, 12),
)
"""Seeds and steps that are played with slow links."""


@pytest.mark.parametrize(("seed", "steps"), SLOW_LINKS)
def test_a_long_configuration_comes_into_force_over_slow_links(seed, steps, tmp_path):
    oracle = asyncio.run(play(seed, steps, tmp_path, has_slow_links=True))
    assert oracle.findings == []


RESTARTS = ((1, 8), (2, 8))
"""Seeds and steps in which replicas start again and others write entries."""


@pytest.mark.parametrize(("seed", "steps"), RESTARTS)
def test_replicas_that_start_again_and_garbage_harm_nothing(seed, steps, tmp_path):
    oracle = asyncio.run(play(seed, steps, tmp_path, drawn=RESTART_FAULTS))
    assert oracle.findings == []


CROWDS = ((1, 8), (2, 8))
"""Seeds and steps in which crowds of clients that don't behave are among the faults."""


@pytest.mark.parametrize(("seed", "steps"), CROWDS)
def test_crowds_of_clients_harm_no_gateway_and_no_caller(seed, steps, tmp_path):
    oracle = asyncio.run(play(seed, steps, tmp_path, drawn=CROWD_FAULTS))
    assert oracle.findings == []


KEYS = ((1, 8),)
"""Seeds and steps in which callers need keys that are taken away."""


@pytest.mark.parametrize(("seed", "steps"), KEYS)
def test_keys_and_reports_are_what_they_must_be(seed, steps, tmp_path):
    oracle = asyncio.run(play(seed, steps, tmp_path, drawn=KEY_FAULTS))
    assert oracle.findings == []


def test_a_soak_that_ends_before_a_report_is_due_waits_for_it(tmp_path):
    oracle = asyncio.run(play(1, 1, tmp_path, drawn=(exchange_keys,)))
    assert oracle.findings == []


CRASHES = (
    (1, 8),
    # A gateway ended by itself as the store did not take a record of the quarantine.
    (7001, 12),
)
ERAS = (
    (1, 8),
    # The same.
    (7100, 12),
    (7102, 12),
)
"""Seeds and steps in which requests crash replicas, and in which the store returns from
copies besides."""


@pytest.mark.parametrize(("seed", "steps"), CRASHES)
def test_requests_that_crash_replicas_harm_nobody_else_for_long(seed, steps, tmp_path):
    oracle = asyncio.run(play(seed, steps, tmp_path, drawn=CRASH_FAULTS))
    assert oracle.findings == []


@pytest.mark.parametrize(("seed", "steps"), ERAS)
def test_a_store_that_returns_from_a_copy_harms_nothing(seed, steps, tmp_path):
    oracle = asyncio.run(play(seed, steps, tmp_path, drawn=ERA_FAULTS))
    assert oracle.findings == []
