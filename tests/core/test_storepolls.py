import pytest

from robinspindle.core.storepolls import (
    LATE_S,
    MAX_HOLD_S,
    MIN_HOLD_S,
    SPREAD_S,
    find_hold_s,
)

REST_SHARE = 0.35

BOUNDS_S = [(3.0, 2.0), (4.0, 3.0), (5.0, 4.0)]
"""Of the users' deployments: when gateways are in touch again after a silence, and how
long they may send to a replica that leaves, seconds."""


@pytest.mark.parametrize(("contact_s", "leave_s"), BOUNDS_S)
def test_a_silence_is_noticed_and_told_before_gateways_are_held_to_it(
    contact_s, leave_s
):
    rest_s = REST_SHARE * leave_s
    noticed_s = rest_s + find_hold_s(contact_s, rest_s) + LATE_S
    assert noticed_s + SPREAD_S <= contact_s
    assert MIN_HOLD_S < find_hold_s(contact_s, rest_s) <= MAX_HOLD_S


def test_a_poll_is_held_for_a_while_whatever_was_promised():
    assert find_hold_s(0.5, 0.4) == MIN_HOLD_S
