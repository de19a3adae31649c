import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.aggregation import aggregate, drop_sent, merge_unsent, subtract
from robinspindle.core.peerdigests import (
    Digest,
    Placement,
    PrefillStatistics,
    TargetLoad,
    apply_digest,
)
from robinspindle.core.prefillmodel import FitSums
from robinspindle.core.priorities import LEVELS
from robinspindle.core.targetspeeds import SpeedSums

counts = st.integers(0, 50)
loads = st.lists(
    st.builds(
        TargetLoad,
        st.sampled_from(["e1", "e2", "e3"]),
        counts,
        st.lists(counts, min_size=6, max_size=6),
        counts,
        counts,
        counts,
        counts,
    ),
    unique_by=lambda load: load.lifetime,
)


def make(sender, loads=(), placements=(), **more):
    return Digest(sender, 1.0, 1, list(loads), list(placements), **more)


def list_loads(digest):
    """Return the load of each engine in a digest, without its age and without zeros."""
    found = {
        load.lifetime: (
            load.in_flight,
            tuple(load.backlog_ms),
            load.long_answers,
            load.set_aside,
            load.tokens,
        )
        for load in digest.loads
    }
    return {
        name: load
        for name, load in found.items()
        if any((*load[1], load[0], *load[2:]))
    }


@pytest.mark.parametrize(
    "more", [{"is_store_unavailable": True}, {"lacks_store": True}]
)
def test_a_total_tells_that_some_gateway_of_the_group_has_lost_the_store(more):
    own, one, other = make("r"), make("a"), make("b", **more)
    assert not aggregate(own, [one], is_full=False).lacks_store
    total = aggregate(own, [one, other], is_full=False)
    assert total.lacks_store
    assert not total.is_store_unavailable
    views = {}
    apply_digest(views, total, 1.0, lambda lifetime: None)
    assert views["r"].lacks_store
    assert not views["r"].is_store_unavailable


@given(loads, loads, loads)
def test_total_without_one_is_the_total_of_the_others(first, second, third):
    own, one, other = make("r", first), make("a", second), make("b", third)
    total = aggregate(own, [one, other], is_full=True)
    assert list_loads(subtract(total, one)) == list_loads(aggregate(own, [other], True))
    assert total.is_relay
    assert total.members == ["r", "a", "b"]


def test_own_placements_loads_and_statistics_are_subtracted():
    sums = FitSums(2.0, [1.0] * 6, [1.0] * 3)
    own_placement, other_placement = (
        Placement("e1", [("aa", 5)], 10),
        Placement("e2", [("bb", 5)], 10),
    )
    own = make(
        "r",
        prefill_loads={"lm": 0.5},
        prefill_statistics=[PrefillStatistics("lm", True, sums)],
    )
    one = make(
        "a",
        placements=[own_placement],
        prefill_loads={"lm": 0.25},
        prefill_statistics=[PrefillStatistics("lm", True, sums)],
    )
    other = make("b", placements=[other_placement])
    total = aggregate(own, [one, other], is_full=True)
    assert total.placements == [own_placement, other_placement]
    assert total.prefill_loads == {"lm": 0.75}
    assert total.prefill_statistics[0].sums.weight == 4.0
    left = subtract(total, one)
    assert left.placements == [other_placement]
    assert left.prefill_loads == {"lm": 0.5}
    assert left.prefill_statistics[0].sums == sums


def test_state_not_forwarded_yet_is_kept_and_sent_once():
    first = make(
        "a",
        [TargetLoad("e1", 1, [0] * LEVELS)],
        [Placement("e1", [])],
        timed_out_targets=["e9"],
    )
    second = make("a", [], [Placement("e2", [])], timed_out_targets=["e8"])
    merged = merge_unsent(merge_unsent(None, first), second)
    assert merged.loads == []
    assert [p.lifetime for p in merged.placements] == ["e1", "e2"]
    assert merged.timed_out_targets == ["e8", "e9"]
    assert drop_sent(merged).placements == []
    restarted = Digest("a", 2.0, 1, [], [])
    assert merge_unsent(merged, restarted) is restarted


def test_members_of_a_group_are_kept_until_they_are_forwarded():
    first, second = make("r", members=["r", "a"]), make("r")
    assert merge_unsent(first, second).members == ["r", "a"]


def test_highest_end_of_each_topic_is_sent():
    total = aggregate(
        make("r", topic_ends={"x": 5}), [make("a", topic_ends={"x": 7, "y": 1})], False
    )
    assert total.topic_ends == {"x": 7, "y": 1}
    assert total.members is None


def test_speeds_are_added_and_what_one_measured_is_subtracted():
    own = make("r", speeds=[SpeedSums("e1", 8, [8, 0, 4], [0, 0, 4])])
    one = make("a", speeds=[SpeedSums("e1", 9, [8]), SpeedSums("e2", 3, [8], [8])])
    total = aggregate(own, [one], is_full=True, speeds_turn=0)
    assert total.speeds == [
        SpeedSums("e1", 8, [8, 8, 4], [0, 0, 4]),
        SpeedSums("e2", 3, [8], [8]),
    ]
    assert subtract(total, one).speeds == [own.speeds[0], SpeedSums("e2", 0, [])]
    assert aggregate(own, [one], is_full=True).speeds is None


def test_speeds_that_are_not_in_the_newest_digest_are_kept():
    first = make("a", speeds=[SpeedSums("e1", 8, [8])])
    assert merge_unsent(first, make("a")).speeds == first.speeds
    assert drop_sent(first).speeds == first.speeds
    assert merge_unsent(first, make("a", speeds=[])).speeds == []
