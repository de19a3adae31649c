import dataclasses
import math
import random

from hypothesis import assume, given
from hypothesis import strategies as st

from robinspindle.core import interference
from robinspindle.core.decodeplacement import (
    CAPACITY_SHARE,
    SLOW_ENGINE_FACTOR,
    choose_decode_target,
    choose_long_decode_pair,
    estimate_slot_wait_s,
    find_longest_answer_event_s,
    find_max_event_s,
    has_long_capacity,
)
from robinspindle.core.forwarding import Prompt
from tests.core.test_prefillplacement import make_pair, name


def make_hosts(*events_s):
    """Make engines, d1 and on, that made an event in so many seconds each lately."""
    fleet = [make_pair(f"d{n}", "decode") for n, _ in enumerate(events_s, 1)]
    for (_, engine), seconds in zip(fleet, events_s, strict=True):
        interference.note_event(engine, 10.0, seconds)
    return fleet


def host_long_answers(event_s, now):
    """Choose a host: d1, the fuller one, makes an event in so long, d2 in 40 ms."""
    fleet = make_hosts(event_s, 0.04)
    fleet[0][1].own_long_answers = 3
    return name(choose_long_decode_pair(fleet, "a", now)[0])


def test_a_long_answer_is_hosted_where_events_are_not_slow():
    """Of 1,836 notes 73 were lost and 250 late before, 65 and 176 with it."""
    assert host_long_answers(0.09, now=10.0) == "d1"
    assert host_long_answers(0.14, now=10.0) == "d2"


def test_an_engine_that_was_slow_is_tried_again():
    assert (
        host_long_answers(0.14, now=10.0 + interference.EVENT_MAX_AGE_S + 0.1) == "d1"
    )


def test_a_host_whose_events_are_slow_gets_fewer_short_answers():
    """In time at four times the load, a third of the engines slow: 0.21, then 0.29."""
    fleet = make_hosts(0.18, 0.06)
    fleet[0][1].peers_in_flight["others"] = 10
    fleet[1][1].peers_in_flight["others"] = 20
    rng = random.Random(1)
    assert name(choose_decode_target(fleet, "a", 10.0, 0.0, rng)) == "d2"
    assert (
        name(
            choose_decode_target(fleet, "a", 10.0, 0.0, rng, has_pause_sensitive=False)
        )
        == "d1"
    )
    assert name(choose_decode_target(fleet, "a", 20.0, 0.0, rng)) == "d1"


def test_a_host_that_makes_no_event_at_all_counts_as_slow():
    fleet = make_hosts(0.06, 0.06)
    for _, engine in fleet:
        interference.note_answer_begun(engine, 10.0)
    interference.note_answer_event(fleet[1][1], 10.4)
    fleet[1][1].peers_in_flight["others"] = 4
    fleet[0][1].peers_in_flight["others"] = 3
    assert name(choose_decode_target(fleet, "a", 10.4, 0.0, random.Random(1))) == "d2"


def test_the_longest_answers_go_where_events_come_fast_enough_for_them():
    fleet = make_hosts(0.08, 0.06)
    fleet[0][1].own_long_answers = 3
    short, long, longest = (
        find_max_event_s(Prompt("m", (), 220, 12_198, 57 * events), 57, 15.0)
        for events in (40, 150, 400)
    )
    assert name(choose_long_decode_pair(fleet, "a", 10.0, short)[0]) == "d1"
    assert name(choose_long_decode_pair(fleet, "a", 10.0, long)[0]) == "d2"
    # Where none is fast enough the fastest is the best there is, unless it fails.
    assert name(choose_long_decode_pair(fleet, "a", 10.0, longest)[0]) == "d2"
    fleet[1][0].faults = 0.9
    assert name(choose_long_decode_pair(fleet, "a", 10.0, longest)[0]) == "d1"


def test_an_answer_whose_length_nobody_guesses_goes_to_any_host():
    """By the most that it may hold it would always go to the fastest."""
    fleet = make_hosts(0.08, 0.06)
    fleet[0][1].own_long_answers = 3
    unknown = find_max_event_s(Prompt("m", (), 220, 12_198), 57, 15.0)
    assert name(choose_long_decode_pair(fleet, "a", 10.0, unknown)[0]) == "d1"


def test_an_answer_waits_for_a_place_where_all_are_taken():
    """On a day of overload 100 to 174 answers were sent to engines that make 96 at
    once. Plans knew nothing of places: notes of 200 tokens, planned to begin in 0.04 to
    0.12 s, began after 0.4 to 3.6 s."""
    target, engine = pair = make_pair("d1", "decode")
    interference.note_slot_hold(engine, 4.8)
    target.in_flight, engine.peers_in_flight["g2"] = 20, 27
    assert estimate_slot_wait_s(pair) == 0.0
    target.in_flight = 30
    # Of 48 answers of 4.8 s each one ends every 0.1 s; ten are before it.
    assert abs(estimate_slot_wait_s(pair) - 1.0) < 1e-6


def test_a_long_answer_goes_where_a_place_is_free():
    fleet = make_hosts(0.04, 0.04)
    fleet[0][1].own_long_answers = 3
    assert name(choose_long_decode_pair(fleet, "a", 10.0)[0]) == "d1"
    fleet[0][0].in_flight = 60
    interference.note_slot_hold(fleet[0][1], 4.8)
    assert name(choose_long_decode_pair(fleet, "a", 10.0)[0]) == "d2"


def test_an_engine_takes_no_more_long_answers_than_the_longest_bear():
    """Those that were cut at their limit had 190 to 210 of their 214 events, at 70 to
    78 ms each; 70 would have done."""
    prompt = Prompt("m", (), 220, 12_198, 57 * 90)
    longest_s = find_longest_answer_event_s(prompt, 57, 90.0, 15.0, 0.2)
    assert abs(longest_s - 15.0 / 214) < 1e-9
    few, many, slow = make_hosts(0.055, 0.075, 0.11)
    assert has_long_capacity(few, 10.0, 0.05, longest_s)
    assert not has_long_capacity(many, 10.0, 0.15, longest_s)
    # One that is slow by itself takes those that are short enough for it.
    assert has_long_capacity(slow, 10.0, 0.15, longest_s)
    assert not has_long_capacity(slow, 10.0, 0.1, longest_s)


def test_answers_that_bear_a_slow_engine_leave_the_fast_ones_to_the_longest():
    longest_s = 15.0 / 214
    fleet = make_hosts(0.055, 0.11)
    fleet[0][1].own_long_answers = 3
    hosts = [
        name(choose_long_decode_pair(fleet, "a", 10.0, most_s, longest_s)[0])
        for most_s in (0.15, 0.08)
    ]
    assert hosts == ["d2", "d1"]


def test_what_the_longest_answers_bear_is_not_taken_from_what_none_holds():
    """Callers allow far more tokens than most answers hold; by these no engine would
    bear any answer."""
    guessed = Prompt("m", (), 220, 500_000, 57 * 90)
    longest_s = find_longest_answer_event_s(guessed, 57, 90.0, 15.0, 0.2)
    assert abs(longest_s - 15.0 / 225) < 1e-9
    unknown = Prompt("m", (), 220, 12_198)
    assert find_longest_answer_event_s(unknown, 57, 214.0, 15.0, 0.2) == math.inf


EVENTS_S = st.floats(0.005, 0.5)
ANSWERS = st.integers(5, 500)


@given(ANSWERS, ANSWERS, ANSWERS, st.floats(0.01, 60.0))
def test_the_wait_for_a_place_grows_with_those_who_want_one(slots, own, others, hold_s):
    target, engine = pair = make_pair("d1", "decode")
    target.announced = dataclasses.replace(target.announced, slots=slots)
    interference.note_slot_hold(engine, hold_s)
    target.in_flight, engine.peers_in_flight["g2"] = own, others
    wait_s = estimate_slot_wait_s(pair)
    assert (wait_s > 0.0) == (own + others >= slots)
    # Nobody waits longer than all who are there would take one after the other.
    assert wait_s <= (own + others + 1) * hold_s / slots
    target.in_flight += 1
    assert estimate_slot_wait_s(pair) >= wait_s


@given(EVENTS_S, EVENTS_S, EVENTS_S, st.floats(0.1, 10.0))
def test_what_an_engine_bears_depends_on_no_fleets_figures(
    event_s, most_s, longest_s, times
):
    """In proportion the verdict is the same for fleets that are faster or slower."""
    engine = make_hosts(event_s)[0]
    other = make_hosts(event_s * times)[0]
    verdict = has_long_capacity(engine, 10.0, most_s, longest_s)
    near = [longest_s * CAPACITY_SHARE, longest_s * SLOW_ENGINE_FACTOR, most_s]
    assume(all(abs(event_s / bound - 1.0) > 1e-6 for bound in near))
    assert has_long_capacity(other, 10.0, most_s * times, longest_s * times) == verdict
    # An answer that bears more is let in wherever one that bears less is.
    assert not verdict or has_long_capacity(engine, 10.0, most_s * 2.0, longest_s)
