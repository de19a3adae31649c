import math

import pytest

from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.statements import (
    Change,
    Statements,
    Subject,
    is_own,
    note_head,
)


def make_head(status=200, answered_by="", **said):
    return AnswerHead(status, b"", (), "r1", False, answered_by, False, None, **said)


def note(stated, now, **said):
    return note_head(stated, make_head(**said), now - 0.1, now)


def test_leaving_is_never_withdrawn():
    stated = Statements()
    assert note(stated, 1.0, leaving=True) == [Change(Subject.LEAVING)]
    assert note(stated, 2.0) == []
    assert stated.leaving


def test_a_shorter_rest_does_not_shorten_one():
    stated = Statements()
    note(stated, 1.0, rest_s=3.0)
    note(stated, 1.5, rest_s=0.2)
    assert stated.rest_until == 4.0
    note(stated, 2.0, rest_s=10_000.0)
    assert stated.rest_until == 10_002.0


def test_an_answer_that_asks_for_no_rest_ends_none():
    stated = Statements()
    note(stated, 1.0, rest_s=0.2)
    note(stated, 1.1)
    assert stated.rest_until == 1.2


def test_no_time_is_no_rest():
    stated = Statements()
    assert note(stated, 1.0, rest_s=0.0) == []
    assert stated.rest_until == -math.inf


def test_each_rest_is_a_change_once():
    stated = Statements()
    assert note(stated, 1.0, rest_s=3.0) == [Change(Subject.REST, 3.0)]
    assert note(stated, 1.1, rest_s=3.0) == []
    assert note(stated, 2.0, rest_s=3.0) == [Change(Subject.REST, 3.0)]
    assert note(stated, 9.0, rest_s=0.2) == [Change(Subject.REST, 0.2)]
    assert note(stated, 9.5, rest_s=0.0) == []


def test_a_limit_is_a_change_when_it_is_named_and_when_it_is_lifted():
    stated = Statements()
    assert note(stated, 1.0, limit_per_s=5.0) == [Change(Subject.LIMIT, 5.0, None)]
    assert note(stated, 2.0, limit_per_s=5.0) == []
    assert note(stated, 3.0) == [Change(Subject.LIMIT, None, 5.0)]


def test_a_limit_stays_while_it_is_not_known_when_the_request_was_sent():
    stated = Statements()
    note(stated, 1.0, limit_per_s=5.0)
    assert note_head(stated, make_head(), -math.inf, 2.0) == []


@pytest.mark.parametrize(
    ("head", "own"),
    [
        (make_head(), True),
        (make_head(answered_by="i1"), True),
        (make_head(answered_by="i2"), False),
        (make_head(421, is_misdirected=True), False),
        (make_head(421, "i1", is_misdirected=True), False),
    ],
)
def test_only_its_own_answers_speak_of_a_lifetime(head, own):
    assert is_own("i1@5", head) is own
