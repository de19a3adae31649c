import pytest

from robinspindle.core.ratelimits import (
    EXPIRY_S,
    NEWS_S,
    RateLimit,
    Sharing,
    choose_sharing,
    find_share,
    find_wait,
    is_news,
    note_answer,
    note_told,
    take,
)

STEP_S = 0.01
WINDOW_S = 4.0


def find_allowed(per_s):
    """Requests that a target may get in any window, by the promise."""
    return 1.5 * per_s * WINDOW_S + 5


def play(per_s, sharings, seconds=12.0):
    """Have gateways send whenever they may; return the times."""
    shares = [find_share(per_s, "t1", sharing) for sharing in sharings]
    limits = [RateLimit(per_s, 0.0) for _ in sharings]
    times = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for limit, share in zip(limits, shares, strict=True):
            limit.noted_at = now
            while share and find_wait(limit, share, now) <= 0:
                take(limit, share, now)
                times.append(now)
    return times


def find_most(times):
    """Find the most requests in any window."""
    return max(
        (sum(at <= time < at + WINDOW_S for time in times) for at in set(times)),
        default=0,
    )


def make_names(count):
    return [f"g{number}" for number in range(count)]


@pytest.mark.parametrize("per_s", [0.1, 1.0, 9.4, 60.0])
@pytest.mark.parametrize("count", [1, 4, 29, 420])
def test_gateways_together_keep_to_a_limit_and_use_it(per_s, count):
    names = tuple(make_names(count))
    times = play(per_s, [Sharing(name, names) for name in names])
    assert find_most(times) <= find_allowed(per_s)
    assert len(times) >= per_s * 12.0 * 0.9 - per_s - 3


@pytest.mark.parametrize("per_s", [1.0, 9.4, 60.0])
@pytest.mark.parametrize(("count", "cut"), [(4, 2), (5, 2), (29, 14), (29, 1)])
def test_gateways_that_are_cut_off_from_each_other_keep_to_a_limit(per_s, count, cut):
    names = make_names(count)
    sides = (names[:cut], names[cut:])
    sharings = [
        choose_sharing(
            own, [n for n in side if n != own], [n for n in names if n != own]
        )
        for side in sides
        for own in side
    ]
    assert find_most(play(per_s, sharings)) <= find_allowed(per_s)


def test_limit_is_not_used_up_in_advance():
    limit = RateLimit(2.0, noted_at=10.0)
    assert find_wait(limit, 2.0, 10.0) == pytest.approx(0.5)
    assert find_wait(limit, 2.0, 10.5) == 0.0
    take(limit, 2.0, 15.0)
    assert find_wait(limit, 2.0, 15.0) == pytest.approx(0.5)
    assert find_wait(limit, 0.0, 15.0) == float("inf")


def test_limit_holds_until_an_answer_to_a_later_request_names_none():
    limit = note_answer(None, 9.5, sent_at=0.5, now=1.0)
    assert limit.per_s == 9.5
    assert note_answer(limit, None, sent_at=0.9, now=1.2) is limit
    assert note_answer(limit, 4.0, sent_at=0.9, now=1.2).per_s == 4.0
    assert note_answer(limit, None, sent_at=1.1, now=1.3) is limit
    assert note_answer(limit, None, sent_at=1.25, now=1.3) is None


def test_limit_that_nobody_repeats_expires():
    limit = note_answer(None, 0.0, sent_at=0.5, now=1.0)
    assert find_wait(limit, 0.0, 1.0 + EXPIRY_S) == float("inf")
    assert find_wait(limit, 0.0, 1.1 + EXPIRY_S) == 0.0


def test_limit_told_by_a_peer_holds_but_is_not_told_on():
    limit = note_told(None, 9.5, now=1.0)
    assert limit.per_s == 9.5
    assert not is_news(limit, 1.0)
    limit = note_answer(limit, 4.0, sent_at=1.5, now=2.0)
    assert is_news(limit, 2.0)
    # What an answer has just named is newer than what others tell.
    assert note_told(limit, 9.5, now=2.1).per_s == 4.0
    assert note_told(limit, 9.5, now=2.1 + NEWS_S).per_s == 9.5
