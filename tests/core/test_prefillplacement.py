import dataclasses
import random

from robinspindle.core import engines, interference, prefillbacklog, prefillplacement
from robinspindle.core.engines import make_engine
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.prefillmodel import PrefillModel
from robinspindle.core.prefillplacement import choose_plan
from robinspindle.core.priorities import LATE_LEVEL, SHORT_LEVEL, find_rank_level
from robinspindle.core.requestplans import PlanningContext
from robinspindle.core.targets import Announcement, Target

SYSTEM_PART, DOCUMENT_PART, OWN_PART = Part("h", 2500), Part("d", 3800), Part("o", 2900)
DIGEST_PROMPT = Prompt("m", (SYSTEM_PART, DOCUMENT_PART, OWN_PART), 9200, 118)
CHAT_PROMPT = Prompt("m", (Part("c", 80), Part("q", 140)), 220, 5000)
CONTEXT = PlanningContext(0.0, 0.2, 0.2, 0.15, "a")
CALLER_TIMEOUT_S = 2.0
LONG_CONTEXT = dataclasses.replace(CONTEXT, is_long=True)
TRANSFER_CONTEXT = dataclasses.replace(CONTEXT, token_transfer_s=1.2e-7)


PREFILL_MODELS = {
    "prefill": PrefillModel((0.0, 0.004, 0.0)),
    "decode": PrefillModel((0.0, 0.01, 0.0)),
}
"""Prefill models of 250,000 and 100,000 tokens a second."""


def make_pair(lifetime, role, zone="a"):
    announced = Announcement(lifetime, "s", f"{lifetime}:1", zone, 48, role=role)
    engine = make_engine(role == "prefill", 300_000, PREFILL_MODELS[role])
    return Target(announced), engine


def make_pairs():
    return [make_pair(f"p{n}", "prefill") for n in (1, 2)] + [
        make_pair(f"d{n}", "decode") for n in (1, 2, 3)
    ]


def name(target):
    return target.announced.lifetime if target else ""


def test_uncached_prompt_is_prefilled_on_a_prefill_engine():
    plan = choose_plan(make_pairs(), DIGEST_PROMPT, CONTEXT)
    assert name(plan.prefill_target).startswith("p")
    assert name(plan.target).startswith("d")


def test_prompt_goes_to_the_engine_that_has_cached_its_document():
    pairs = make_pairs()
    engines.note_placed(pairs[1][1], DIGEST_PROMPT.parts[:2])
    plan = choose_plan(pairs, DIGEST_PROMPT, CONTEXT)
    assert (name(plan.prefill_target), plan.uncached_tokens) == ("p2", 2900)


def test_prompt_leaves_the_cached_engine_if_it_would_miss_its_deadline():
    pairs = make_pairs()
    engines.note_placed(pairs[1][1], DIGEST_PROMPT.parts[:2])
    pairs[1][1].own_backlog_s[1] = 0.3
    assert name(choose_plan(pairs, DIGEST_PROMPT, CONTEXT).prefill_target) != "p2"


def test_decode_engine_prefills_a_prompt_that_it_has_cached():
    pairs = make_pairs()
    engines.note_placed(pairs[3][1], DIGEST_PROMPT.parts[:2])
    plan = choose_plan(pairs, DIGEST_PROMPT, CONTEXT)
    assert (name(plan.prefill_target), name(plan.target)) == ("", "d2")


def test_decode_engine_does_not_prefill_if_long_answers_would_pause():
    pairs = make_pairs()
    engine = pairs[3][1]
    engines.note_placed(engine, DIGEST_PROMPT.parts[:2])
    engine.own_long_answers = 4
    engine.prefill_share = 0.15
    assert choose_plan(pairs, DIGEST_PROMPT, CONTEXT).prefill_target is not None


def test_long_answers_are_concentrated_up_to_a_share_of_the_slots():
    pairs = make_pairs()
    pairs[3][1].own_long_answers = 3
    assert name(choose_plan(pairs, CHAT_PROMPT, LONG_CONTEXT).target) == "d2"
    pairs[3][1].own_long_answers = 20
    assert name(choose_plan(pairs, CHAT_PROMPT, LONG_CONTEXT).target) != "d2"


def test_without_prefill_engines_decode_engines_prefill():
    pairs = make_pairs()[2:]
    assert choose_plan(pairs, DIGEST_PROMPT, CONTEXT).prefill_target is None


def test_without_decode_engines_there_is_no_plan():
    assert choose_plan(make_pairs()[:2], DIGEST_PROMPT, CONTEXT) is None


def test_own_zone_is_preferred_among_equal_engines():
    pairs = [make_pair("p1", "prefill", "b"), make_pair("p2", "prefill")]
    pairs += [make_pair("d1", "decode", "b"), make_pair("d2", "decode")]
    plan = choose_plan(pairs, DIGEST_PROMPT, CONTEXT)
    assert (name(plan.prefill_target), name(plan.target)) == ("p2", "d2")


def test_failing_engine_is_avoided():
    pairs = make_pairs()
    pairs[0][0].faults = 0.9
    assert name(choose_plan(pairs, DIGEST_PROMPT, CONTEXT).prefill_target) == "p2"


def plan_behind(wait_s, cached_parts=()):
    pairs = [make_pair("p1", "prefill"), make_pair("d1", "decode")]
    for _, engine in pairs:
        engine.own_backlog_s[1] = wait_s
        engines.note_placed(engine, cached_parts)
    return choose_plan(pairs, DIGEST_PROMPT, CONTEXT)


def test_request_in_time_does_not_wait_for_late_requests():
    pairs = [make_pair("p1", "prefill"), make_pair("d1", "decode")]
    for _, engine in pairs:
        engine.own_backlog_s[LATE_LEVEL] = 5.0
    plan = choose_plan(pairs, DIGEST_PROMPT, CONTEXT)
    assert plan.level < LATE_LEVEL
    assert plan.first_event_s < 0.1


def test_late_request_gets_the_late_level():
    plan = plan_behind(0.5)
    assert plan.level == LATE_LEVEL
    assert plan.wait_s >= 0.5
    assert not prefillplacement.should_refuse(plan, CALLER_TIMEOUT_S)


def test_request_that_begins_after_the_caller_timeout_is_refused():
    assert prefillplacement.should_refuse(plan_behind(1.7), CALLER_TIMEOUT_S)
    assert not prefillplacement.should_refuse(plan_behind(1.4), CALLER_TIMEOUT_S)
    assert prefillplacement.should_refuse(plan_behind(0.5), 0.5)


def test_long_prompt_alone_is_no_reason_to_refuse():
    long_prompt = Prompt("m", (Part("l", 90_000),), 90_000, 118)
    plan = choose_plan(make_pairs(), long_prompt, CONTEXT)
    assert plan.first_event_s > 0.2
    assert not prefillplacement.should_refuse(plan, CALLER_TIMEOUT_S)


def test_higher_rank_waits_only_for_its_own_level():
    first, second = (dataclasses.replace(CONTEXT, rank=rank) for rank in (0, 2))
    pairs = [make_pair("p1", "prefill"), make_pair("d1", "decode")]
    for _, engine in pairs:
        engine.own_backlog_s[3] = 0.05
    plan, other = (
        choose_plan(pairs, DIGEST_PROMPT, context) for context in (first, second)
    )
    assert plan.level < other.level
    assert plan.wait_s == 0.0
    assert other.wait_s == 0.05


def test_cached_parts_are_fetched_from_another_engine():
    pairs = make_pairs()
    engines.note_placed(pairs[3][1], DIGEST_PROMPT.parts[:2])
    for _, engine in pairs[2:]:
        engine.own_long_answers = 4
        engine.prefill_share = 0.05
    plan = choose_plan(pairs, DIGEST_PROMPT, TRANSFER_CONTEXT)
    assert name(plan.prefill_target).startswith("p")
    assert (name(plan.cache_source), plan.uncached_tokens) == ("d2", 2900)


def test_nothing_is_fetched_if_the_transfer_is_slower_than_prefill():
    pairs = make_pairs()
    engines.note_placed(pairs[3][1], DIGEST_PROMPT.parts[:2])
    pairs[3][1].own_long_answers = 4
    pairs[3][1].prefill_share = 0.05
    slow = dataclasses.replace(TRANSFER_CONTEXT, token_transfer_s=1e-5)
    plan = choose_plan(pairs, DIGEST_PROMPT, slow)
    assert (plan.cache_source, plan.uncached_tokens) == (None, 9200)


def test_nothing_is_fetched_if_the_transfer_time_is_unknown():
    pairs = make_pairs()
    engines.note_placed(pairs[3][1], DIGEST_PROMPT.parts[:2])
    assert choose_plan(pairs, DIGEST_PROMPT, CONTEXT).cache_source is None


def test_engine_with_cached_parts_is_preferred_to_a_fetch():
    pairs = make_pairs()
    engines.note_placed(pairs[1][1], DIGEST_PROMPT.parts[:2])
    plan = choose_plan(pairs, DIGEST_PROMPT, TRANSFER_CONTEXT)
    assert (name(plan.prefill_target), plan.cache_source) == ("p2", None)


def test_stale_state_spreads_choices_over_engines():
    pairs = make_pairs()
    pairs[0][1].own_backlog_s[1] = 0.004
    stale = dataclasses.replace(CONTEXT, age_s=0.1, rng=random.Random(1))
    found = [
        name(choose_plan(pairs, DIGEST_PROMPT, stale).prefill_target) for _ in range(40)
    ]
    assert 10 < found.count("p2") < 40
    fresh = dataclasses.replace(CONTEXT, age_s=0.001, rng=random.Random(1))
    found = [
        name(choose_plan(pairs, DIGEST_PROMPT, fresh).prefill_target) for _ in range(40)
    ]
    assert found.count("p2") == 40


def test_engine_in_its_slow_start_is_avoided():
    pairs = [make_pair("p1", "prefill"), make_pair("p2", "prefill")]
    pairs.append(make_pair("d1", "decode"))
    pairs[0][0].cold_until = 1.0
    assert name(choose_plan(pairs, DIGEST_PROMPT, CONTEXT).prefill_target) == "p2"
    later = dataclasses.replace(CONTEXT, now=1.0)
    assert name(choose_plan(pairs, DIGEST_PROMPT, later).prefill_target) == "p1"


def test_cheapest_engine_prefills_if_no_answers_are_sensitive_to_pauses():
    pairs = make_pairs()[2:4]
    for _, engine in pairs:
        prefillbacklog.note_prefill_start(engine, 0.0, 0.08, 1)
    engines.note_placed(pairs[0][1], DIGEST_PROMPT.parts[:2])
    insensitive = dataclasses.replace(CONTEXT, has_pause_sensitive=False)
    assert name(choose_plan(pairs, DIGEST_PROMPT, insensitive).target) == "d1"


def test_long_answer_that_begins_after_the_caller_timeout_is_refused():
    """Guards against prompts that wait until their callers time out.

    77 of 88 prompts were planned to begin after 5 to 31 s, and waited for 2.6 s in
    vain.
    """
    pairs = [make_pair("d1", "decode")]
    pairs[0][1].own_backlog_s[0] = 3.0
    plan = choose_plan(pairs, CHAT_PROMPT, LONG_CONTEXT)
    assert plan.level < LATE_LEVEL
    assert prefillplacement.should_refuse(plan, CALLER_TIMEOUT_S)
    assert not prefillplacement.should_refuse(plan, 60.0)


def test_prompt_of_a_long_answer_is_prefilled_elsewhere_if_answers_would_pause():
    """Guards against prefill that slows the long answers of a decode engine.

    At four times the load, 0.15 of the requests met their deadline if the decode engine
    prefilled every such prompt, otherwise 0.24.
    """
    pairs = make_pairs()
    for _, engine in pairs[2:]:
        engine.own_long_answers = 4
        engine.prefill_share = 0.05
    plan = choose_plan(pairs, DIGEST_PROMPT, LONG_CONTEXT)
    assert name(plan.prefill_target).startswith("p")
    assert choose_plan(pairs, CHAT_PROMPT, LONG_CONTEXT).prefill_target is None
    assert choose_plan(pairs[2:], DIGEST_PROMPT, LONG_CONTEXT).prefill_target is None


def test_long_answer_with_a_short_prompt_gets_the_level_of_its_rank():
    """Guards against long answers that take the slots of prefilled prompts.

    A short prefill delays no other request, but a long answer holds its slot for
    seconds. When notes with prompts of 200 tokens went before all others, a tenth of
    the prefilled prompts began 0.25 s later or never.
    """
    short = choose_plan(make_pairs(), CHAT_PROMPT, dataclasses.replace(CONTEXT, rank=1))
    long = choose_plan(
        make_pairs(), CHAT_PROMPT, dataclasses.replace(LONG_CONTEXT, rank=1)
    )
    assert short.level == SHORT_LEVEL
    assert long.level == find_rank_level(1)
    # The decode engine still prefills its prompt.
    assert long.prefill_target is None


def test_long_answer_is_refused_if_no_engine_has_capacity():
    """Guards against long answers that make the longest ones miss their limits.

    A long answer beyond the capacity of its engine slows the others there. It is still
    sent if answers of its length are underserved.
    """
    pairs = make_pairs()
    for _, engine in pairs[2:]:
        interference.note_event(engine, 10.0, 0.075)
    context = dataclasses.replace(
        LONG_CONTEXT, now=10.0, max_event_s=0.1, longest_answer_event_s=15.0 / 214
    )
    assert prefillplacement.should_refuse(
        choose_plan(pairs, CHAT_PROMPT, context), 15.0
    )
    underserved = dataclasses.replace(context, is_answer_underserved=True)
    assert not prefillplacement.should_refuse(
        choose_plan(pairs, CHAT_PROMPT, underserved), 15.0
    )
    later = dataclasses.replace(context, now=10.0 + interference.EVENT_MAX_AGE_S + 0.1)
    assert not prefillplacement.should_refuse(
        choose_plan(pairs, CHAT_PROMPT, later), 15.0
    )


def test_long_answer_that_would_wait_too_long_for_a_slot_is_refused():
    pairs = make_pairs()
    for target, engine in pairs[2:]:
        target.in_flight = 58
        interference.note_slot_hold(engine, 4.8)
    plan = choose_plan(pairs, CHAT_PROMPT, LONG_CONTEXT)
    assert plan.slot_wait_s > 1.0
    assert prefillplacement.should_refuse(plan, 15.0, max_slot_wait_s=0.2)
    # By default, as for a caller that has retried, it is sent even though it is late.
    assert not prefillplacement.should_refuse(plan, 15.0)
