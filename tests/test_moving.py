"""When a stopped answer may still go on at the engine that leaves."""

import random
from types import SimpleNamespace

from robinspindle.core import moves
from robinspindle.core.forwarding import CacheSource
from robinspindle.core.policy import Policy
from robinspindle.core.targets import Announcement, Target
from robinspindle.ends import End
from robinspindle.moving import Moves
from robinspindle.passages import Continuation, Stop

LEAVE_S = 2.0
"""Time for which an engine that leaves may get anything, seconds."""


def make_leaving():
    announced = Announcement("e1", "lm", "127.0.0.1:1", "a", 1, leaving=True)
    return Target(announced)


def make_moves(target, now):
    directory = SimpleNamespace(targets={target.announced.lifetime: target})
    means = SimpleNamespace(
        clock=lambda: now,
        fleet=SimpleNamespace(directory=directory),
        policy=lambda: Policy(moves_answers=False),
    )
    return Moves(means, random.Random(1))


def test_an_engine_leaves_no_later_where_its_answers_begin_after_it_said_so():
    """A stopped answer was sent to it long after it was to get nothing any more."""
    target = make_leaving()
    kept = make_moves(target, 0.0)
    kept.look_after_leaving(0.0, LEAVE_S)
    kept._runs["e1"] = [SimpleNamespace(target=target)]
    kept.look_after_leaving(1.5, LEAVE_S)
    assert kept._leave_at["e1"] == LEAVE_S


def test_a_stopped_answer_is_not_sent_to_its_source_as_that_leaves():
    """It arrived there after the time in which the engine may get anything."""
    target = make_leaving()
    place = Continuation(target, CacheSource("127.0.0.1:1", "h1"))
    for now, found in ((1.0, place), (LEAVE_S - moves.LAST_SEND_S, None)):
        stop = Stop(target, LEAVE_S, places=[place])
        passage = SimpleNamespace(stop=stop, splitter=SimpleNamespace(last_id="3"))
        kept = make_moves(target, now)
        assert kept.find_continuation(passage, End.UNSURE) == found
