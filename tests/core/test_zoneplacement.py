import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.decodeplacement import choose_decode_target
from robinspindle.core.engines import note_placed
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.policy import Policy
from robinspindle.core.prefillplacement import choose_plan_with, find_transfer
from robinspindle.core.requestplans import PlanningContext, plan_continuation
from robinspindle.core.zonecosts import ZoneTerms, find_crossing_costs
from robinspindle.core.zoneplacement import (
    UNHEARD_AGE_S,
    Leaving,
    ZoneView,
    choose_plan_by_zone,
    list_zones_left,
)
from robinspindle.core.zoneshares import ZoneShare
from tests.core.test_prefillplacement import make_pair

PROMPT = Prompt("m", (Part("h", 5400), Part("o", 6600)), 12_000, 384)
TERMS = ZoneTerms(most_share=1.0)
DRAWS = 400


def make_context(terms=TERMS, left_s=0.6):
    costs = find_crossing_costs(terms, 12_000, PROMPT, 12, 3.8e-7, 35_136.0)
    return PlanningContext(
        0.0, left_s, 0.6, 0.25, "a", crossing=costs, policy=Policy(weighs_zones=True)
    )


def make_view(ages_s=None, timeout_s=8.0, seed=1):
    share = ZoneShare(wanted=1.0, noted_at=0.0)
    return ZoneView(TERMS, share, ages_s or {}, timeout_s, random.Random(seed))


def make_zones(*zones):
    return [
        make_pair(f"{zone}-{role}{n}", role, zone)
        for zone in zones
        for role in ("prefill", "decode")
        for n in (1, 2)
    ]


def fill(pairs, zone, backlog_s):
    for target, engine in pairs:
        if target.announced.zone == zone:
            engine.own_backlog_s[1] = backlog_s


def count_leaving(pairs, context=None, **view):
    context = context or make_context()
    plans = [
        choose_plan_by_zone(pairs, PROMPT, context, make_view(seed=seed, **view))
        for seed in range(DRAWS)
    ]
    return sum(bool(list_zones_left(plan, "a")) for plan in plans) / DRAWS


def test_nothing_leaves_while_engines_at_home_are_idle():
    assert count_leaving(make_zones("a", "b")) == 0.0


def test_most_leave_a_zone_where_they_would_be_late():
    pairs = make_zones("a", "b")
    fill(pairs, "a", 0.8)
    assert count_leaving(pairs) > 0.9
    view = make_view()
    plan = choose_plan_by_zone(pairs, PROMPT, make_context(), view)
    assert plan.leaving == Leaving.LATE and plan.home_first_event_s > 0.6


def test_the_parts_of_one_request_stay_together():
    """A prompt whose KV cache moves between zones pays for it with every token."""
    pairs = make_zones("a", "b")
    fill(pairs, "a", 0.8)
    for seed in range(50):
        view = make_view(seed=seed)
        plan = choose_plan_by_zone(pairs, PROMPT, make_context(), view)
        parts = (plan.target, plan.prefill_target or plan.target)
        assert len({target.announced.zone for target in parts}) == 1


def test_a_prompt_goes_where_its_parts_are_cached_and_back_when_it_pays_no_more():
    pairs = make_zones("a", "b")
    held = [e for t, e in pairs if t.announced.lifetime == "b-prefill1"][0]
    note_placed(held, PROMPT.parts)
    assert count_leaving(pairs) > 0.9
    fill(pairs, "b", 0.28)
    assert count_leaving(pairs) == 0.0


def test_parts_may_be_fetched_from_another_zone_instead_of_the_request_leaving():
    pairs = make_zones("a", "b")
    held = [e for t, e in pairs if t.announced.lifetime == "b-prefill1"][0]
    note_placed(held, PROMPT.parts[:1])
    dear = make_context(dataclasses.replace(TERMS, mb_cost_ms=20_000.0))
    context = dataclasses.replace(dear, token_transfer_s=3.8e-7)
    plan = choose_plan_by_zone(pairs, PROMPT, context, make_view())
    assert not list_zones_left(plan, "a")
    assert plan.cache_source.announced.lifetime == "b-prefill1"


def test_a_dear_link_keeps_all_at_home_that_are_in_time_there():
    pairs = make_zones("a", "b")
    fill(pairs, "a", 0.15)
    assert count_leaving(pairs) > 0.2
    dear = make_context(dataclasses.replace(TERMS, mb_cost_ms=20_000.0))
    assert count_leaving(pairs, dear) == 0.0


def test_a_zone_that_is_full_of_its_own_callers_takes_no_guests():
    pairs = make_zones("a", "b")
    fill(pairs, "a", 0.8)
    fill(pairs, "b", TERMS.guest_load_share * 0.6 + 0.01)
    assert count_leaving(pairs) == 0.0


def test_all_leave_a_zone_without_a_target_and_none_for_a_lost_one():
    assert count_leaving(make_zones("b")) == 1.0
    pairs = make_zones("a")
    fill(pairs, "a", 0.8)
    assert count_leaving(pairs) == 0.0


def test_a_zone_that_lost_its_prefill_engines_has_its_prompts_prefilled_elsewhere():
    lost = ("a-prefill1", "a-prefill2")
    pairs = [p for p in make_zones("a", "b") if p[0].announced.lifetime not in lost]
    plan = choose_plan_by_zone(pairs, PROMPT, make_context(), make_view())
    assert plan.prefill_target.announced.zone == "b"
    assert plan.leaving == Leaving.NO_TARGET


def test_there_is_no_plan_without_a_decode_engine():
    pairs = [pair for pair in make_zones("a", "b") if pair[1].prefill_only]
    assert choose_plan_by_zone(pairs, PROMPT, make_context(), make_view()) is None
    assert choose_plan_by_zone([], PROMPT, make_context(), make_view()) is None


def test_a_zone_whose_gateways_are_not_heard_gets_a_small_share():
    pairs = make_zones("a", "b")
    fill(pairs, "a", 0.8)
    assert 0.0 < count_leaving(pairs, ages_s={"b": UNHEARD_AGE_S}) < 0.35


def test_who_would_be_refused_at_home_leaves_for_that():
    pairs = make_zones("a", "b")
    fill(pairs, "a", 9.0)
    plan = choose_plan_by_zone(pairs, PROMPT, make_context(), make_view())
    assert plan.leaving == Leaving.REFUSED


def choose_host_zone(pairs):
    rng, costs = random.Random(1), make_context().crossing
    return choose_decode_target(
        pairs, "a", 0.0, 0.0, rng, crossing=costs, prefill_zone="a"
    ).announced.zone


def test_a_host_stays_with_the_kv_cache_until_the_zone_has_far_busier_engines():
    """The last decode engine of a zone must not get all answers of its callers."""
    pairs = make_zones("a", "b")
    for target, _ in pairs:
        target.in_flight = 4 if target.announced.zone == "a" else 0
    assert choose_host_zone(pairs) == "a"
    for target, _ in pairs:
        target.in_flight = 30 if target.announced.zone == "a" else 4
    assert choose_host_zone(pairs) == "b"


@given(
    backlogs=st.lists(st.floats(0, 2), min_size=3, max_size=3),
    age_s=st.floats(0, 2),
    seed=st.integers(0, 1000),
)
def test_a_plan_is_found_wherever_there_is_one(backlogs, age_s, seed):
    pairs = make_zones("a", "b", "c")
    for zone, backlog_s in zip("abc", backlogs, strict=True):
        fill(pairs, zone, backlog_s)
    context = make_context()
    view = make_view({"b": age_s, "c": age_s}, seed=seed)
    plan = choose_plan_by_zone(pairs, PROMPT, context, view)
    home = [pair for pair in pairs if pair[0].announced.zone == "a"]
    transfer = find_transfer(pairs, PROMPT, context)
    stays = choose_plan_with(home, PROMPT, context, transfer)
    if not list_zones_left(plan, "a"):
        assert plan == stays
    else:
        assert plan.cost_s < stays.cost_s or plan.leaving != Leaving.SOONER


def test_a_continuation_does_not_count_as_leaving_once_more():
    """Guards against a move back home that is told as a request which leaves."""
    pairs = make_zones("a", "b")
    fill(pairs, "a", 0.8)
    plan = choose_plan_by_zone(pairs, PROMPT, make_context(), make_view())
    assert plan.leaving
    home = [target for target, _ in pairs if target.announced.zone == "a"][0]
    continued = plan_continuation(plan, home)
    assert (continued.leaving, continued.home_first_event_s) == ("", None)
