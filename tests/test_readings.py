"""What a gateway learns of engines' paces from the prompts it has them read.

All gateways lost power; for the rest of the day every second request was lost, though
all served again within three seconds. In order: gateways that start believe caches to
be empty; callers come back with prompts that engines have read already; 1,912 tokens
that are believed to be read take 2.9 ms; the pace that is fitted falls to 0.2 ms for
1,000 tokens, a hundredth of the real one; prompts seem to cost nothing where answers
are generated, all of them are sent there, and what waits there until its caller leaves
is never learnt from. Evidence, by the logs of two plays of one day, learnt before and
after: 34 ms and 0.0 to 0.2 ms where 0.231 of requests failed, 36 ms and 17 to 33 ms
where 0.042 did.
"""

from types import SimpleNamespace

from robinspindle.core.engines import make_engine, note_earlier_cache
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.policy import Policy
from robinspindle.core.prefillmodel import estimate_seconds
from robinspindle.core.requestplans import RequestPlan
from robinspindle.readings import Readings

PROMPT = Prompt("m", (Part("s", 200), Part("o", 1712)), 1912, 100)


class Counter:
    def labels(self, _):
        return self

    def inc(self, _):
        pass


def read_cached(engine, up_s):
    """Have an engine read 20 prompts that its cache holds already; returns its pace."""
    now = [0.0]
    means = SimpleNamespace(
        clock=lambda: now[0],
        policy=Policy,
        peers=SimpleNamespace(changed=SimpleNamespace(set=lambda: None)),
        metrics=SimpleNamespace(prompt_tokens=Counter()),
    )
    readings = Readings(means)
    target = SimpleNamespace(announced=SimpleNamespace(lifetime="d1"))
    plan = RequestPlan(target, None, 1912, 0.08, 0.0, 0.1, 0.1)
    passage = SimpleNamespace(request=SimpleNamespace(prompt=PROMPT))
    for number in range(20):
        now[0] = up_s + 0.3 * number
        work = readings.begin(passage, target, engine, plan)
        work.end(now[0] + 0.0029)
    return estimate_seconds(engine.prefill_model, 1912, 0)


def test_what_a_cache_may_hold_already_teaches_no_pace():
    engine = make_engine(False, 100_000)
    before = estimate_seconds(engine.prefill_model, 1912, 0)
    assert read_cached(engine, up_s=0.0) == before


def test_a_cache_that_was_told_is_learnt_from_at_once():
    engine = make_engine(False, 100_000)
    note_earlier_cache(engine, [Part("s", 200)])
    before = estimate_seconds(engine.prefill_model, 1912, 0)
    assert read_cached(engine, up_s=0.0) < before / 2


def test_a_cache_of_which_nothing_is_told_is_learnt_from_in_the_end():
    engine = make_engine(False, 100_000)
    before = estimate_seconds(engine.prefill_model, 1912, 0)
    assert read_cached(engine, up_s=10.0) < before / 2
