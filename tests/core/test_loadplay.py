"""Simulates loads against the gateways' decisions on placement."""

import pytest

from robinspindle.core import estimates, prefillplacement
from robinspindle.core.prefillspeed import note_unqueued_prefill
from tests.core import loadplay
from tests.core.loadplay import Load, simulate

SEEDS = (1, 2)


def share_in_time(per_s, **more):
    outcomes = [simulate(Load(per_s=per_s, for_s=4.0, **more), seed) for seed in SEEDS]
    return sum(o.in_time for o in outcomes) / sum(o.asked for o in outcomes)


def test_a_load_within_capacity_meets_the_deadlines():
    outcome = simulate(Load(per_s=200, for_s=4.0))
    assert outcome.in_time > 0.96 * outcome.asked
    assert outcome.refused == 0


@pytest.mark.parametrize(
    ("per_s", "before", "least"),
    [(350, 0.850, 0.94), (450, 0.693, 0.86)],
)
def test_with_outdated_views_only_two_engines_are_compared(
    monkeypatch, per_s, before, least
):
    """Guards against herding: gateways with outdated views choose the same best engine.

    The shares that meet the deadline are 0.850 and 0.693 if all engines are compared,
    and 0.961 and 0.887 if two are.
    """
    assert share_in_time(per_s) > least
    monkeypatch.setattr(prefillplacement, "MAX_UNREPORTED_PREFILLS", 1e9)
    assert share_in_time(per_s) == pytest.approx(before, abs=0.005)


def test_a_burst_is_served_by_68_gateways_as_by_few():
    """Each gateway then sees one request in 68, and the others only by updates."""
    assert share_in_time(350, gateways=68) > 0.92


def test_samples_come_from_engines_that_are_never_idle(monkeypatch):
    """Guards against a model without samples, if only unqueued prefills counted.

    The share that meets the deadline is 0.901, and 0.671 with unqueued ones only.
    """
    assert share_in_time(550, gateways=1) > 0.82

    def note_alone(engine, measured, was_alone):
        if was_alone:
            note_unqueued_prefill(engine, measured)

    monkeypatch.setattr(loadplay, "note_prefill_done", note_alone)
    monkeypatch.setattr(loadplay, "note_queued_prefill", lambda *_: None)
    assert share_in_time(550, gateways=1) < 0.7


def test_the_network_delay_does_not_count_as_backlog(monkeypatch):
    """Guards against an estimated busy time that includes the network delay.

    The ratio of estimated to actual busy time is 1.2, and 2 with that delay.
    """
    load = Load(per_s=200, for_s=4.0)
    outcome = simulate(load)
    ratio = outcome.estimated_busy_s / outcome.busy_s
    assert ratio < 1.3
    monkeypatch.setattr(estimates, "estimate_busy_s", estimates.estimate_prefill_s)
    outcome = simulate(load)
    assert outcome.estimated_busy_s / outcome.busy_s > ratio + 0.5


@pytest.mark.parametrize("gateways", [1, 68])
def test_the_simulation_loses_no_request(gateways):
    outcome = simulate(Load(per_s=300, for_s=2.0, gateways=gateways))
    assert outcome.in_time + outcome.late + outcome.refused == outcome.asked
