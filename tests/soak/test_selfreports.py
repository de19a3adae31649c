"""Replicas that leave or ask for rest, before gateways as processes."""

import asyncio

import pytest

from soak.selfreportaccount import (
    FEWEST_COUNTED,
    HELD_S,
    SelfReportAccount,
    Supply,
)
from soak.selfreporting import find_rest_s
from soak.selfreports import play
from standins.replica import Refusal


@pytest.mark.parametrize("seed", [1, 2])
def test_replicas_that_leave_or_rest_get_no_more_than_they_may(seed, tmp_path):
    played = asyncio.run(play(seed, 15.0, tmp_path))
    assert played.account.passed_on
    assert played.account.rests
    assert played.list_findings() == []


def make_account():
    """Make an account of two requests to a gateway and one to another, at second 0."""
    account = SelfReportAccount(leave_s=1.0)
    account.note_sent("a", "g1/1", 0.0)
    account.note_sent("b", "g1/1", 1.5)
    account.note_sent("c", "g1/2", 1.5)
    return account


@pytest.mark.parametrize(
    ("passed_at", "id", "replica", "is_late"),
    [
        (0.4, "b", "i1@1", True),
        (0.6, "b", "i1@1", False),
        (0.4, "c", "i1@1", False),
        (0.4, "b", "i1@2", False),
    ],
)
def test_a_request_that_reaches_a_leaving_replica_is_a_finding(
    passed_at, id, replica, is_late
):
    account = make_account()
    account.note_leaving("a", "seal-i1", "i1@1")
    account.note_passed_on("a", "seal-i1", passed_at)
    account.note_arrival(id, replica, 2.0)
    assert len(account.list_findings()) == is_late


def test_an_answer_that_no_caller_got_does_not_say_that_a_replica_leaves():
    account = make_account()
    account.note_leaving("a", "seal-i1", "i1@1")
    account.note_passed_on("a", "seal-i2", 0.1)
    account.note_arrival("b", "i1@1", 2.0)
    assert account.list_findings() == []


@pytest.mark.parametrize(
    ("times", "is_disturbed"),
    [
        ([0.1, 0.2, 0.4, 0.49], False),
        ([0.5, 2.9], False),
        ([0.5, 1.0, 2.9], True),
        ([0.5, 1.0, 3.0], False),
    ],
)
def test_more_than_two_requests_in_a_rest_are_a_finding(times, is_disturbed):
    account = make_account()
    account.note_rest("a", "i1@1", 3.0, 0.0)
    for time in times:
        account.note_arrival("b", "i1@1", time)
        account.note_arrival("c", "i1@1", time)
    assert len(account.list_findings()) == is_disturbed


def test_requests_that_are_held_where_no_replica_takes_any_are_a_finding():
    account = make_account()
    for waited_s, status in ((4.0, 200), (0.1, 503), (4.0, 200)):
        account.note_outcome(Supply.NONE, status, waited_s)
        account.note_outcome(Supply.SOME, None, 4.0)
    assert account.list_findings() == []
    for status in (503, None, 504):
        account.note_outcome(Supply.NONE, status, HELD_S)
    assert len(account.list_findings()) == 1


@pytest.mark.parametrize(("refused", "is_short"), [(5, False), (6, True)])
def test_too_few_served_where_enough_replicas_are_is_a_finding(refused, is_short):
    account = make_account()
    for number in range(FEWEST_COUNTED):
        account.note_outcome(Supply.FULL, 503 if number < refused else 200, 0.1)
        account.note_outcome(Supply.NONE, 503, 0.1)
    assert len(account.list_findings()) == is_short


@pytest.mark.parametrize(
    ("rests", "rest_s"),
    [((), 0.0), (("3",), 3.0), (("-1",), 0.0), (("soon",), 0.0), (("1", "2"), 2.0)],
)
def test_a_rest_is_the_longest_that_was_asked_for(rests, rest_s):
    assert find_rest_s(Refusal(rests)) == rest_s
