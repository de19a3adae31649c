"""Whose turn it is, as gateways fall silent and come back."""

import pytest

from robinspindle.core import usagereports
from robinspindle.core.peerdigests import PeerView
from robinspindle.core.presence import REMEMBERED_S
from robinspindle.core.relays import Member
from robinspindle.core.usagereports import Schedule
from robinspindle.dutyranking import RETURN_WAIT_S, DutyRanking
from robinspindle.peers import Peers, note_member

SCHEDULE = Schedule(window_s=5.0, late_s=10.0)


def make_peers(*names):
    peers = Peers(Member("a", "127.0.0.1", 1), 0.0)
    for name in names:
        note_member(peers, Member(name, "127.0.0.1", 1))
    return peers


def hear(peers, ranking, names, until, start=0.0):
    """Hear some gateways, and no others, at each look of a while."""
    now = start
    while now <= until:
        peers.views.clear()
        for name in names:
            view = PeerView(started=0.0, number=1, heard_at=now)
            peers.views[name] = view
        ranking.note_heard(now)
        now += 0.25


def test_all_are_heard_once_they_had_time_to_tell_what_they_counted():
    peers = make_peers("b", "c")
    ranking = DutyRanking(peers)
    hear(peers, ranking, "bc", RETURN_WAIT_S - 0.25)
    assert not ranking.hears_all()
    hear(peers, ranking, "bc", RETURN_WAIT_S, start=RETURN_WAIT_S)
    assert ranking.hears_all()


def test_who_fell_silent_is_waited_for_until_it_has_been_back_for_a_while():
    peers = make_peers("b", "c")
    ranking = DutyRanking(peers)
    hear(peers, ranking, "bc", 20.0)
    hear(peers, ranking, "b", 26.0, start=20.25)
    assert not ranking.hears_all()
    hear(peers, ranking, "bc", 27.0, start=26.25)
    assert not ranking.hears_all()
    hear(peers, ranking, "bc", 29.0, start=27.25)
    assert ranking.hears_all()


def test_who_is_gone_is_not_waited_for_any_more():
    peers = make_peers("b", "c")
    ranking = DutyRanking(peers)
    hear(peers, ranking, "bc", 20.0)
    hear(peers, ranking, "b", 20.25 + REMEMBERED_S, start=20.25)
    assert ranking.hears_all()


def test_a_new_life_waits_for_all_that_the_store_names():
    peers = make_peers("b", "c")
    ranking = DutyRanking(peers)
    hear(peers, ranking, "b", REMEMBERED_S - 1.0)
    assert not ranking.hears_all()
    hear(peers, ranking, "b", REMEMBERED_S, start=REMEMBERED_S)
    assert ranking.hears_all()


@pytest.mark.parametrize("place", range(3))
def test_an_incomplete_window_is_reported_by_those_that_hear_most_first(place):
    complete = usagereports.find_report_delay_s(SCHEDULE, place, True, True)
    incomplete = usagereports.find_report_delay_s(SCHEDULE, place, True, False)
    alone = usagereports.find_report_delay_s(SCHEDULE, 0, False, False)
    assert complete < incomplete < alone < SCHEDULE.late_s
