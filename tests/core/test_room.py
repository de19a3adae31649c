import random
from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.engines import make_engine
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.peerdigests import (
    PEER_TIMEOUT_S,
    Digest,
    TargetLoad,
    apply_digest,
    remove_timed_out_peers,
)
from robinspindle.core.priorities import LEVELS
from robinspindle.core.requestplans import (
    PlanningContext,
    plan_local_prefill,
    plan_remote_prefill,
)
from robinspindle.core.room import (
    can_ever_fit,
    count_tokens,
    describe_room,
    estimate_memory_wait_s,
    make_claim,
)
from robinspindle.core.roomclaims import Claim, Use, add_claim
from tests.core.roomplay import RoomPlay
from tests.core.test_prefillplacement import make_pair

BACKLOG = [0, 40, 30] + [0] * (LEVELS - 3)


def make_room_pair(in_flight=0, hold_s=2.0, tokens=10_000):
    target, engine = make_pair("d1", "decode")
    target.in_flight = in_flight
    engine.slot_hold_s, engine.cache_tokens = hold_s, tokens
    return target, engine


def tell(engine, number, **load):
    digest = Digest("g2", 1.0, number, [TargetLoad("d1", 3, BACKLOG, **load)], [])
    apply_digest(peers := {}, digest, 0.0, {"d1": engine}.get)
    return peers


def test_the_account_brings_slots_memory_and_prefill_time_together():
    pair = make_room_pair(in_flight=2)
    slots = pair[0].announced.slots
    add_claim(pair[1].room, "r1", Claim(Use.TAKEN, 1000, 0.0))
    add_claim(pair[1].room, "r2", Claim(Use.PROMISED, 500, 0.0))
    tell(pair[1], 1, set_aside=2, tokens=4000)
    view = describe_room(pair, 0.1)
    assert (view.free_slots, view.set_aside) == (slots - 2 - 3 - 1 - 2, 3)
    assert view.free_tokens == 10_000 - 1000 - 500 - 4000
    assert view.prefill_s == pytest.approx(0.07)
    assert view.turnover_per_s == 5 / 2.0


def test_a_peer_that_dies_leaves_nothing_after_its_time_out():
    _, engine = pair = make_room_pair()
    peers = tell(engine, 1, set_aside=2, tokens=4000)
    find = {"d1": engine}.get
    assert remove_timed_out_peers(peers, PEER_TIMEOUT_S + 0.1, find) == ["g2"]
    view = describe_room(pair, 0.1)
    assert (view.set_aside, view.taken_tokens) == (0, 0)
    assert view.free_slots == pair[0].announced.slots


def test_shared_parts_and_unmade_answers_take_no_memory_of_their_own():
    prompt = Prompt("m", (Part("a", 900), Part("own", 100)), 1000, 400, 50)
    assert count_tokens(prompt, Use.TAKEN) == 150
    assert count_tokens(prompt, Use.KEPT) == 100
    assert count_tokens(Prompt("m", (), 1000, 400), Use.TAKEN) == 1000


@given(st.integers(), st.integers(), st.integers())
def test_no_claim_exceeds_its_engine_whatever_a_caller_says(tokens, shared, guess):
    """Guards against peers that refuse all news of a gateway for one absurd length."""
    engine = make_engine(False, 5000)
    prompt = Prompt("m", (Part("a", shared), Part("b", 1)), tokens, 400, guess)
    for use in Use:
        assert 0 <= make_claim(engine, prompt, use, 0.0).tokens <= 5000
    engine.slot_hold_s = 2.0
    add_claim(engine.room, "r1", Claim(Use.TAKEN, 5000, 0.0))
    wait_s = estimate_memory_wait_s((None, engine), count_tokens(prompt, Use.TAKEN))
    assert 0.0 <= wait_s <= 2.0


def test_only_prompts_that_exceed_the_memory_never_fit():
    engine = make_engine(False, 5000)
    assert can_ever_fit(engine, Prompt("m", (), 5000, 400))
    assert not can_ever_fit(engine, Prompt("m", (), 5001, 400))


def test_requests_wait_for_memory_only_where_it_is_short():
    pair = make_room_pair()
    assert estimate_memory_wait_s(pair, 10_000) == 0.0
    add_claim(pair[1].room, "r1", Claim(Use.PROMISED, 9000, 0.0))
    assert estimate_memory_wait_s(pair, 1000) == 0.0
    assert estimate_memory_wait_s(pair, 6000) == 1.0


@pytest.mark.parametrize("gateways", [1, 7, 420])
def test_a_view_is_wrong_by_no_more_than_its_stated_error(gateways):
    """Guards against views that claim to be better than late news allow.

    Answers begin at random at all gateways and last two seconds; each gateway tells
    another one of its own every 0.1 s, which takes 0.02 s to arrive.
    """
    rng = random.Random(gateways)
    per_s, age_s, step_s = 20.0, 0.12, 0.01
    ends, told = deque(), deque()
    target, engine = make_room_pair()
    wrong = looks = 0
    for step in range(6000):
        now = step * step_s
        while ends and ends[0][0] <= now:
            ends.popleft()
        for _ in range(sum(rng.random() < per_s * step_s / 4 for _ in range(4))):
            ends.append((now + 2.0, rng.randrange(gateways)))
        if step % 10 == 0:
            told.append((now + 0.02, sum(gateway > 0 for _, gateway in ends)))
        while told and told[0][0] <= now:
            engine.peers_in_flight["others"] = told.popleft()[1]
        target.in_flight = sum(gateway == 0 for _, gateway in ends)
        view = describe_room((target, engine), age_s)
        really_free = target.announced.slots - len(ends)
        looks += 1
        wrong += abs(view.free_slots - really_free) > view.slot_error
    assert wrong <= looks / 100


def test_an_engine_of_which_nothing_is_known_has_all_its_room():
    engine = make_engine(False, 5000)
    view = describe_room((make_pair("d1", "decode")[0], engine), 0.0)
    assert (view.free_tokens, view.turnover_per_s, view.slot_error) == (5000, 0.0, 0.0)


def test_requests_keep_off_engines_whose_memory_is_short():
    """Guards against engines that put requests back while others have memory."""
    seeds = (1, 2, 3)
    shares = {
        counts_memory: [
            RoomPlay(13.0, 26.0, seed, counts_memory).run(20.0).find_share_in_time()
            for seed in seeds
        ]
        for counts_memory in (True, False)
    }
    assert sum(shares[True]) > sum(shares[False])


def test_memory_that_is_short_makes_no_engine_prefill_what_another_would():
    """Guards against prompts that flee the wait for memory into its own engine."""
    prompt = Prompt("m", (Part("own", 2000),), 2000, 400, 50)
    plans = {}
    for tokens in (None, 2050):
        reader, pair = make_pair("p1", "prefill"), make_room_pair()
        add_claim(pair[1].room, "r1", Claim(Use.TAKEN, 10_000, 0.0))
        context = PlanningContext(0.0, 2.0, 1.0, 1.0, "a", tokens=tokens)
        local = plan_local_prefill(pair, prompt, context, None)
        remote = plan_remote_prefill(reader, pair, prompt, context, None)
        plans[tokens] = remote.cost_s - local.cost_s
    assert plans[2050] == pytest.approx(plans[None], abs=1e-3)
