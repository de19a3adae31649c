import pytest

from benches.pairs import Play, compare_plays, judge


def make_plays(revision, worths, days=None):
    days = days or [f"day-{number}" for number in range(len(worths))]
    return [
        Play("site", day, 1, revision, {"worth": worth})
        for day, worth in zip(days, worths, strict=True)
    ]


def test_only_plays_of_the_same_day_and_seed_are_compared():
    first = make_plays("a", [0.5, 0.4], ["x", "y"])
    second = make_plays("b", [0.7, 0.9], ["y", "z"])
    (worth,) = compare_plays(first, second)
    assert worth.pairs == 1
    assert worth.mean == pytest.approx(0.3)


def test_a_difference_that_all_pairs_share_is_a_gain_or_a_loss():
    before = make_plays("a", [0.3, 0.5, 0.6, 0.4, 0.7])
    after = make_plays("b", [0.36, 0.55, 0.66, 0.46, 0.75])
    assert judge(compare_plays(before, after)[0]) == "gain"
    assert judge(compare_plays(after, before)[0]) == "loss"


def test_a_difference_smaller_than_its_spread_is_noise():
    before = make_plays("a", [0.3, 0.5, 0.6, 0.4, 0.7])
    after = make_plays("b", [0.4, 0.4, 0.7, 0.32, 0.72])
    assert judge(compare_plays(before, after)[0]).startswith("noise")


def test_few_pairs_tell_nothing():
    before, after = make_plays("a", [0.1, 0.2]), make_plays("b", [0.5, 0.6])
    assert judge(compare_plays(before, after)[0]).startswith("too few pairs")


def test_a_price_that_one_play_lacks_counts_as_zero():
    first = [Play("s", "d", 1, "a", {"worth": 0.5})]
    second = [Play("s", "d", 1, "b", {"worth": 0.5, "price: orders": 0.02})]
    by_name = {found.name: found for found in compare_plays(first, second)}
    assert by_name["price: orders"].before == 0.0
    assert by_name["price: orders"].after == 0.02
    assert by_name["price: orders"].higher == 1
