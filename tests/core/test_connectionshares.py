"""How many of a target's connections one gateway may use."""

import pytest

from robinspindle.core.connectionshares import LEAST_CONNECTIONS, find_share


@pytest.mark.parametrize(
    ("total", "gateways", "others", "share"),
    [
        (460, 23, None, 20),
        (460, 23, 0, 153),
        (460, 23, 400, 20),
        (460, 23, 600, 20),
        (100, 420, None, LEAST_CONNECTIONS),
        (100, 420, 100, LEAST_CONNECTIONS),
        (490, 4, 0, 163),
    ],
)
def test_share_follows_what_others_leave(total, gateways, others, share):
    assert find_share(total, gateways, others) == share


def test_two_gateways_that_hear_of_each_other_stay_within_the_limit():
    first = second = 0
    for _ in range(50):
        first, second = find_share(90, 30, second), find_share(90, 30, first)
    assert first + second <= 90
