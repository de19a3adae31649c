"""What callers get of a load, played in virtual time against the decisions."""

import pytest

from robinspindle.core import estimates, prefillplacement
from robinspindle.core.engines import note_unqueued_prefill
from tests.core import loadplay
from tests.core.loadplay import Load, play

SEEDS = (1, 2)


def share_in_time(per_s, **more):
    outcomes = [play(Load(per_s=per_s, for_s=4.0, **more), seed) for seed in SEEDS]
    return sum(o.in_time for o in outcomes) / sum(o.asked for o in outcomes)


def test_a_load_that_engines_can_bear_is_served_in_time():
    outcome = play(Load(per_s=200, for_s=4.0))
    assert outcome.in_time > 0.96 * outcome.asked
    assert outcome.refused == 0


@pytest.mark.parametrize(
    ("per_s", "before", "least"), [(350, 0.850, 0.94), (450, 0.693, 0.86)]
)
def test_with_old_beliefs_two_engines_are_compared(monkeypatch, per_s, before, least):
    """In time with all compared and with two: 0.850 and 0.961, 0.693 and 0.887."""
    assert share_in_time(per_s) > least
    monkeypatch.setattr(prefillplacement, "MAX_UNREPORTED_PREFILLS", 1e9)
    assert share_in_time(per_s) == pytest.approx(before, abs=0.005)


def test_with_68_gateways_a_burst_is_served_as_with_few():
    """Each then sees one request in 68, and knows all others by what is told."""
    assert share_in_time(350, gateways=68) > 0.92


def test_engines_that_are_never_idle_are_learnt_too(monkeypatch):
    """In time: 0.901, and 0.671 where only readings that met no other one count."""
    assert share_in_time(550, gateways=1) > 0.82

    def note_alone(engine, measured, was_alone):
        if was_alone:
            note_unqueued_prefill(engine, measured)

    monkeypatch.setattr(loadplay, "note_prefill_done", note_alone)
    monkeypatch.setattr(loadplay, "note_queued_prefill", lambda *_: None)
    assert share_in_time(550, gateways=1) < 0.7


def test_the_way_to_an_engine_does_not_count_as_its_work(monkeypatch):
    """Engines are believed to be busy 1.2 times as long as they are, or 2 times."""
    load = Load(per_s=200, for_s=4.0)
    outcome = play(load)
    believed = outcome.believed_s / outcome.busy_s
    assert believed < 1.3
    monkeypatch.setattr(estimates, "estimate_busy_s", estimates.estimate_prefill_s)
    outcome = play(load)
    assert outcome.believed_s / outcome.busy_s > believed + 0.5


@pytest.mark.parametrize("gateways", [1, 68])
def test_no_request_is_lost_by_the_play(gateways):
    outcome = play(Load(per_s=300, for_s=2.0, gateways=gateways))
    assert outcome.in_time + outcome.late + outcome.refused == outcome.asked
