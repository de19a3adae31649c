import random

from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.copies import (
    COPY_MEMORY_SHARE,
    LOSS_WINDOW_S,
    AnswerRisk,
    LossRate,
    choose_copy,
    find_loss_probability,
    note_run,
)
from tests.core.test_prefillplacement import make_pair

CHAT = AnswerRisk(
    tokens=5_000, loss_probability=0.01, lost_s=10.0, token_transfer_s=1e-6
)
"""A chat that may not run again."""


def make_pairs(count=3, **more):
    return [make_pair(f"d{n}", "decode", **more) for n in range(1, count + 1)]


def choose(pairs, risk=CHAT, copied=None, gateways=1, seed=1):
    rng = random.Random(seed)
    return choose_copy(pairs[0][0], pairs, risk, copied or {}, gateways, rng)


def test_an_answer_that_may_not_run_again_is_copied_beside_its_own_engine():
    pairs = make_pairs()
    for seed in range(20):
        choice = choose(pairs, seed=seed)
        assert choice.reason == "copied"
        assert choice.target in (pairs[1][0], pairs[2][0])


def test_a_long_prompt_is_not_copied_for_what_a_new_prefill_takes():
    """Load: long prompts, one answer in a hundred lost, all may run again.

    Its prefill of 0.1 s is lost once in a hundred times; the copy holds two links for
    0.02 s each time.
    """
    risk = AnswerRisk(
        tokens=12_000, loss_probability=0.01, lost_s=0.1, token_transfer_s=8e-7
    )
    assert choose(make_pairs(), risk).reason == "not worth its transfer"


def test_short_answers_are_not_copied_while_no_engine_is_lost():
    """Load: a quiet day; answers of a second, 25 tokens a link's millisecond."""
    rate = LossRate()
    for second in range(200):
        note_run(rate, float(second), 1.0, is_lost=False)
    probability = find_loss_probability(rate, 200.0, 1.0)
    assert probability * 8.0 < 2 * 5_000 / 25_000


def test_losses_count_for_as_long_as_a_fault_lasts():
    rate = LossRate()
    for second in range(20):
        note_run(rate, float(second), 1.0, is_lost=second % 5 == 0)
    just_after = find_loss_probability(rate, 20.0, 1.0)
    much_later = find_loss_probability(rate, 20.0 + 5 * LOSS_WINDOW_S, 1.0)
    assert just_after > 0.05
    assert much_later < just_after / 10


def test_a_full_engine_keeps_no_copies():
    """Load: all other engines run as many answers as they have slots."""
    pairs = make_pairs()
    for _, engine in pairs[1:]:
        engine.peers_in_flight["others"] = 1_000
    assert choose(pairs).reason == "no room"


def test_another_zone_is_chosen_only_if_the_own_one_has_no_room():
    pairs = make_pairs(2) + [make_pair("far", "decode", zone="b")]
    assert choose(pairs).target is pairs[1][0]
    pairs[1][1].peers_in_flight["others"] = 1_000
    assert choose(pairs).target is pairs[2][0]


@given(st.lists(st.integers(1, 20_000), max_size=60), st.integers(1, 30))
def test_copies_of_all_gateways_fill_no_more_than_their_share(sizes, gateways):
    """Guards against copies that push cached prompt parts out of an engine.

    Each gateway may go beyond its share with a single copy only.
    """
    pairs = make_pairs(2)
    copied = {}
    lifetime = pairs[1][0].announced.lifetime
    share = COPY_MEMORY_SHARE * pairs[1][1].cache_tokens
    for tokens in sizes:
        risk = AnswerRisk(tokens, 1.0, 1_000.0, 1e-9)
        if choose(pairs, risk, copied, gateways).target is not None:
            held = copied.get(lifetime, 0)
            assert held + tokens <= share / gateways or held == 0
            assert tokens <= share
            copied[lifetime] = held + tokens
