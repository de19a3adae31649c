import dataclasses
import random

from robinspindle.core import engines, interference, prefillplacement
from robinspindle.core.engines import make_engine
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.prefillmodel import PrefillModel
from robinspindle.core.prefillplacement import PlanningContext, choose_plan
from robinspindle.core.priorities import LATE_LEVEL, SHORT_LEVEL, find_rank_level
from robinspindle.core.targets import Announcement, Target

HEAD, DOCUMENT, OWN = Part("h", 2500), Part("d", 3800), Part("o", 2900)
DIGEST = Prompt("m", (HEAD, DOCUMENT, OWN), 9200, 118)
CHAT = Prompt("m", (Part("c", 80), Part("q", 140)), 220, 5000)
CALM = PlanningContext(0.0, 0.2, 0.2, 0.15, "a")
PATIENCE_S = 2.0
LONG = dataclasses.replace(CALM, is_long=True)
LINKED = dataclasses.replace(CALM, token_transfer_s=1.2e-7)


PACES = {
    "prefill": PrefillModel((0.0, 0.004, 0.0)),
    "decode": PrefillModel((0.0, 0.01, 0.0)),
}
"""Engines that read 250,000 and 100,000 tokens a second."""


def make_pair(lifetime, role, zone="a"):
    announced = Announcement(lifetime, "s", f"{lifetime}:1", zone, 48, role=role)
    engine = make_engine(role == "prefill", 300_000, PACES[role])
    return Target(announced), engine


def make_fleet():
    return [make_pair(f"p{n}", "prefill") for n in (1, 2)] + [
        make_pair(f"d{n}", "decode") for n in (1, 2, 3)
    ]


def name(target):
    return target.announced.lifetime if target else ""


def test_an_uncached_prompt_is_read_where_reading_is_fast():
    plan = choose_plan(make_fleet(), DIGEST, CALM)
    assert name(plan.reader).startswith("p")
    assert name(plan.target).startswith("d")


def test_a_prompt_goes_to_the_engine_that_has_read_its_document():
    fleet = make_fleet()
    engines.note_placed(fleet[1][1], DIGEST.parts[:2])
    plan = choose_plan(fleet, DIGEST, CALM)
    assert (name(plan.reader), plan.uncached_tokens) == ("p2", 2900)


def test_it_goes_elsewhere_when_it_would_be_late_there():
    fleet = make_fleet()
    engines.note_placed(fleet[1][1], DIGEST.parts[:2])
    fleet[1][1].own_backlog_s[1] = 0.3
    assert name(choose_plan(fleet, DIGEST, CALM).reader) != "p2"


def test_a_generating_engine_reads_what_it_has_read_before():
    fleet = make_fleet()
    engines.note_placed(fleet[3][1], DIGEST.parts[:2])
    plan = choose_plan(fleet, DIGEST, CALM)
    assert (name(plan.reader), name(plan.target)) == ("", "d2")


def test_it_does_not_while_long_answers_would_pause():
    fleet = make_fleet()
    engine = fleet[3][1]
    engines.note_placed(engine, DIGEST.parts[:2])
    engine.own_long_answers = 4
    engine.prefill_share = 0.15
    assert choose_plan(fleet, DIGEST, CALM).reader is not None


def test_long_answers_come_together_until_an_engine_has_its_share():
    fleet = make_fleet()
    fleet[3][1].own_long_answers = 3
    assert name(choose_plan(fleet, CHAT, LONG).target) == "d2"
    fleet[3][1].own_long_answers = 20
    assert name(choose_plan(fleet, CHAT, LONG).target) != "d2"


def test_without_an_engine_that_reads_only_prompts_are_read_where_answered():
    fleet = make_fleet()[2:]
    assert choose_plan(fleet, DIGEST, CALM).reader is None


def test_without_an_engine_that_generates_there_is_no_plan():
    assert choose_plan(make_fleet()[:2], DIGEST, CALM) is None


def test_a_zone_of_ones_own_is_preferred_among_equals():
    fleet = [make_pair("p1", "prefill", "b"), make_pair("p2", "prefill")]
    fleet += [make_pair("d1", "decode", "b"), make_pair("d2", "decode")]
    plan = choose_plan(fleet, DIGEST, CALM)
    assert (name(plan.reader), name(plan.target)) == ("p2", "d2")


def test_a_failing_engine_is_avoided():
    fleet = make_fleet()
    fleet[0][0].faults = 0.9
    assert name(choose_plan(fleet, DIGEST, CALM).reader) == "p2"


def plan_behind(wait_s, held=()):
    fleet = [make_pair("p1", "prefill"), make_pair("d1", "decode")]
    for _, engine in fleet:
        engine.own_backlog_s[1] = wait_s
        engines.note_placed(engine, held)
    return choose_plan(fleet, DIGEST, CALM)


def test_what_can_be_in_time_waits_for_nothing_that_is_late():
    fleet = [make_pair("p1", "prefill"), make_pair("d1", "decode")]
    for _, engine in fleet:
        engine.own_backlog_s[LATE_LEVEL] = 5.0
    plan = choose_plan(fleet, DIGEST, CALM)
    assert plan.level < LATE_LEVEL
    assert plan.first_event_s < 0.1


def test_what_can_not_be_in_time_goes_after_all_that_can():
    plan = plan_behind(0.5)
    assert plan.level == LATE_LEVEL
    assert plan.wait_s >= 0.5
    assert not prefillplacement.should_refuse(plan, PATIENCE_S)


def test_what_would_begin_after_its_caller_gave_up_is_hopeless():
    assert prefillplacement.should_refuse(plan_behind(1.7), PATIENCE_S)
    assert not prefillplacement.should_refuse(plan_behind(1.4), PATIENCE_S)
    assert prefillplacement.should_refuse(plan_behind(0.5), 0.5)


def test_length_alone_makes_nothing_hopeless():
    long_prompt = Prompt("m", (Part("l", 90_000),), 90_000, 118)
    plan = choose_plan(make_fleet(), long_prompt, CALM)
    assert plan.first_event_s > 0.2
    assert not prefillplacement.should_refuse(plan, PATIENCE_S)


def test_the_operators_ranks_go_before_each_other():
    first, second = (dataclasses.replace(CALM, rank=rank) for rank in (0, 2))
    fleet = [make_pair("p1", "prefill"), make_pair("d1", "decode")]
    for _, engine in fleet:
        engine.own_backlog_s[3] = 0.05
    plan, other = (choose_plan(fleet, DIGEST, at) for at in (first, second))
    assert plan.level < other.level
    assert plan.wait_s == 0.0
    assert other.wait_s == 0.05


def test_what_another_engine_has_read_is_fetched_from_it():
    fleet = make_fleet()
    engines.note_placed(fleet[3][1], DIGEST.parts[:2])
    for _, engine in fleet[2:]:
        engine.own_long_answers = 4
        engine.prefill_share = 0.05
    plan = choose_plan(fleet, DIGEST, LINKED)
    assert name(plan.reader).startswith("p")
    assert (name(plan.holder), plan.uncached_tokens) == ("d2", 2900)


def test_nothing_is_fetched_over_a_link_that_is_slower_than_reading():
    fleet = make_fleet()
    engines.note_placed(fleet[3][1], DIGEST.parts[:2])
    fleet[3][1].own_long_answers = 4
    fleet[3][1].prefill_share = 0.05
    slow = dataclasses.replace(LINKED, token_transfer_s=1e-5)
    plan = choose_plan(fleet, DIGEST, slow)
    assert (plan.holder, plan.uncached_tokens) == (None, 9200)


def test_nothing_is_fetched_where_links_are_not_known():
    fleet = make_fleet()
    engines.note_placed(fleet[3][1], DIGEST.parts[:2])
    assert choose_plan(fleet, DIGEST, CALM).holder is None


def test_an_engine_that_has_read_a_prompt_goes_before_one_that_would_fetch_it():
    fleet = make_fleet()
    engines.note_placed(fleet[1][1], DIGEST.parts[:2])
    plan = choose_plan(fleet, DIGEST, LINKED)
    assert (name(plan.reader), plan.holder) == ("p2", None)


def test_entries_that_know_the_same_do_not_all_choose_the_same_engine():
    fleet = make_fleet()
    fleet[0][1].own_backlog_s[1] = 0.004
    stale = dataclasses.replace(CALM, age_s=0.1, rng=random.Random(1))
    found = [name(choose_plan(fleet, DIGEST, stale).reader) for _ in range(40)]
    assert 10 < found.count("p2") < 40
    fresh = dataclasses.replace(CALM, age_s=0.001, rng=random.Random(1))
    found = [name(choose_plan(fleet, DIGEST, fresh).reader) for _ in range(40)]
    assert found.count("p2") == 40


def test_an_engine_that_is_slow_from_its_start_reads_later():
    fleet = [make_pair("p1", "prefill"), make_pair("p2", "prefill")]
    fleet.append(make_pair("d1", "decode"))
    fleet[0][0].cold_until = 1.0
    assert name(choose_plan(fleet, DIGEST, CALM).reader) == "p2"
    later = dataclasses.replace(CALM, now=1.0)
    assert name(choose_plan(fleet, DIGEST, later).reader) == "p1"


def test_beside_answers_without_pauses_an_engine_reads_what_is_cheapest():
    fleet = make_fleet()[2:4]
    for _, engine in fleet:
        engines.note_prefill_start(engine, 0.0, 0.08, 1)
    engines.note_placed(fleet[0][1], DIGEST.parts[:2])
    held = dataclasses.replace(CALM, has_pause_sensitive=False)
    assert name(choose_plan(fleet, DIGEST, held).target) == "d1"


def test_a_long_answer_that_would_begin_too_late_is_hopeless_too():
    """77 of 88 prompts waited 2.6 s in vain, planned to begin after 5 to 31 s."""
    fleet = [make_pair("d1", "decode")]
    fleet[0][1].own_backlog_s[0] = 3.0
    plan = choose_plan(fleet, CHAT, LONG)
    assert plan.level < LATE_LEVEL
    assert prefillplacement.should_refuse(plan, PATIENCE_S)
    assert not prefillplacement.should_refuse(plan, 60.0)


def test_the_prompt_of_a_long_answer_is_read_apart_where_its_host_can_not_bear_it():
    """Read at the host in any case: 0.15 in time at four times the load, else 0.24."""
    fleet = make_fleet()
    for _, engine in fleet[2:]:
        engine.own_long_answers = 4
        engine.prefill_share = 0.05
    plan = choose_plan(fleet, DIGEST, LONG)
    assert name(plan.reader).startswith("p")
    assert choose_plan(fleet, CHAT, LONG).reader is None
    assert choose_plan(fleet[2:], DIGEST, LONG).reader is None


def test_a_long_answer_with_a_short_prompt_goes_by_its_rank():
    """Short readings hold nobody up, long answers do: they hold their places for
    seconds. Sent before all others, notes with prompts of 200 tokens took the places of
    prompts that had been read, of which a tenth began 0.25 s later or never."""
    short = choose_plan(make_fleet(), CHAT, dataclasses.replace(CALM, rank=1))
    long = choose_plan(make_fleet(), CHAT, dataclasses.replace(LONG, rank=1))
    assert short.level == SHORT_LEVEL
    assert long.level == find_rank_level(1)
    # It is still read where it is answered.
    assert long.reader is None


def test_a_long_answer_is_refused_where_it_would_be_one_too_many():
    """Let in beside as many as an engine bears, it makes the longest there miss their
    limits. Not where answers of its length are due a turn."""
    fleet = make_fleet()
    for _, engine in fleet[2:]:
        interference.note_event(engine, 10.0, 0.075)
    at = dataclasses.replace(
        LONG, now=10.0, max_event_s=0.1, longest_answer_event_s=15.0 / 214
    )
    assert prefillplacement.should_refuse(choose_plan(fleet, CHAT, at), 15.0)
    due = dataclasses.replace(at, is_answer_underserved=True)
    assert not prefillplacement.should_refuse(choose_plan(fleet, CHAT, due), 15.0)
    later = dataclasses.replace(at, now=10.0 + interference.EVENT_MAX_AGE_S + 0.1)
    assert not prefillplacement.should_refuse(choose_plan(fleet, CHAT, later), 15.0)


def test_a_long_answer_that_would_wait_too_long_for_a_place_is_refused():
    fleet = make_fleet()
    for target, engine in fleet[2:]:
        target.in_flight = 58
        interference.note_slot_hold(engine, 4.8)
    plan = choose_plan(fleet, CHAT, LONG)
    assert plan.slot_wait_s > 1.0
    assert prefillplacement.should_refuse(plan, 15.0, most_slot_wait_s=0.2)
    # Who has come back already is let in, late.
    assert not prefillplacement.should_refuse(plan, 15.0)
