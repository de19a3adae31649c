import random
from types import SimpleNamespace

from robinspindle.core.permits import OPEN
from robinspindle.core.streamversions import StreamBinding
from robinspindle.core.targets import Directory
from robinspindle.finalanswers import RETRY_BASE_S, FinalAnswers

REST_S = 8.0
CALLERS = 200


def refuse(rest_s, due, first_due=2.0):
    """Refuse requests; returns when their callers are told to come again."""
    refusals = []
    fleet = SimpleNamespace(
        directory=Directory(),
        find_return_s=lambda service, now, version: rest_s,
    )
    means = SimpleNamespace(clock=lambda: 0.0, fleet=fleet)
    log = SimpleNamespace(log_end=lambda *told: None)
    final = FinalAnswers(means, log, random.Random(1))
    for _ in range(CALLERS):
        reply = SimpleNamespace(has_begun=False, refuse=refusals.append)
        passage = SimpleNamespace(
            reply=reply,
            fault=None,
            runs=0,
            service="lm",
            plan=None,
            stream=StreamBinding(),
            due=due,
            given_up_at=first_due,
            permit=OPEN,
        )
        means.fleet.table = None
        final.give_up(passage, "no-target")
    return [refusal.retry_s for refusal in refusals]


def test_callers_come_back_one_after_the_other_when_targets_have_rested():
    returns = sorted(refuse(REST_S, due=60.0))
    assert returns[0] >= REST_S + RETRY_BASE_S
    assert returns[-1] - returns[0] > 0.2 * REST_S
    assert returns[-1] < 1.5 * REST_S


def test_callers_whose_time_ends_before_a_rest_are_not_held_until_its_end():
    assert max(refuse(REST_S, due=6.0)) == 2.0


def test_without_a_rest_a_third_of_the_time_until_a_stream_begins_is_the_most():
    assert max(refuse(0.0, due=60.0, first_due=0.9)) <= 0.3
