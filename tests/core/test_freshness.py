"""Revocation: no request with a key is served later than promised after it."""

import math

from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.freshness import (
    Freshness,
    may_deny,
    may_serve,
    must_renew,
    note_newest_readable,
    note_newest_unreadable,
    note_peer_version,
    note_store_read,
    relies_on_peers,
)

LIMIT_S = 5.0


def make(version=1, newest_at=-math.inf):
    return Freshness(LIMIT_S, 3.0, True, version, newest_at)


def test_no_key_is_served_before_the_first_read():
    assert not may_serve(make(), 0.0)


def test_a_newest_version_that_cant_be_read_renews_nothing():
    freshness = make(version=4, newest_at=1.0)
    note_newest_unreadable(freshness)
    note_store_read(freshness, 3.0)
    note_peer_version(freshness, 4, as_of=3.0, now=3.0)
    assert freshness.newest_at == 1.0
    assert not may_deny(freshness, 1.0)
    assert not must_renew(freshness, 9.0)
    note_newest_readable(freshness)
    note_store_read(freshness, 4.0)
    assert freshness.newest_at == 4.0
    assert may_deny(freshness, 4.0)


def test_read_counts_from_when_it_was_sent():
    freshness = make()
    note_store_read(freshness, 10.0)
    assert may_serve(freshness, 14.0)
    assert not may_serve(freshness, 15.0)


def test_response_delayed_by_a_suspension_renews_nothing():
    freshness = make(newest_at=10.0)
    note_store_read(freshness, 10.1)
    assert not may_serve(freshness, 20.0)


def test_late_response_does_not_raise_the_age():
    freshness = make(newest_at=10.0)
    note_store_read(freshness, 8.0)
    assert freshness.newest_at == 10.0


def test_peer_renews_only_the_same_version():
    freshness = make(version=4, newest_at=1.0)
    note_peer_version(freshness, 3, as_of=9.0, now=9.0)
    assert freshness.newest_at == 1.0
    note_peer_version(freshness, 4, as_of=9.0, now=9.1)
    assert freshness.newest_at == 9.0
    assert relies_on_peers(freshness, 9.5)
    assert not relies_on_peers(freshness, 12.0)


def test_peer_with_a_newer_version_stops_renewal_and_denial():
    """A store that was restored from a backup still holds the previous version."""
    freshness = make(version=4, newest_at=10.0)
    note_peer_version(freshness, 5, as_of=10.5, now=10.5)
    note_store_read(freshness, 11.0)
    assert freshness.newest_at == 10.0
    assert not may_deny(freshness, 11.0)
    freshness.version = 5
    note_store_read(freshness, 11.5)
    assert may_deny(freshness, 11.6)


def test_gateway_that_is_behind_does_not_call_a_key_unknown():
    freshness = make(newest_at=10.0)
    assert may_deny(freshness, 12.0)
    assert not may_deny(freshness, 12.9)


def test_store_is_asked_early_enough_for_a_second_call():
    freshness = make(newest_at=10.0)
    assert not must_renew(freshness, 12.9)
    assert must_renew(freshness, 13.1)


def test_age_does_not_matter_without_a_promise():
    for freshness in (Freshness(None, 3.0, True, 1), Freshness(LIMIT_S, 3.0, False)):
        assert may_serve(freshness, 1e9)
        assert not must_renew(freshness, 1e9)
        assert relies_on_peers(freshness, 1e9)


moves = st.lists(
    st.tuples(
        st.sampled_from(["read", "tell", "revoke", "serve"]),
        st.integers(0, 2),
        st.floats(0.0, 3.0),
        st.floats(0.0, 4.0),
    ),
    max_size=60,
)


@given(moves)
def test_no_gateway_serves_a_revoked_key_too_late(steps):
    """Simulates three gateways with arbitrary delays of reads, datagrams and processes.

    All clocks are correct here. A response or a datagram contains what was true when it
    was sent.
    """
    now, revoked_at, newest = 0.0, None, 1
    gateways = [make() for _ in range(3)]
    in_flight = []
    for kind, number, pause_s, delay_s in steps:
        now += pause_s
        for item in [item for item in in_flight if item[0] <= now]:
            in_flight.remove(item)
            item[1](item[0])
        if kind == "revoke" and revoked_at is None:
            revoked_at, newest = now, 2
        elif kind == "read":
            in_flight.append(_read(gateways[number], now, delay_s, newest))
        elif kind == "tell":
            other = gateways[(number + 1) % 3]
            in_flight.append(_send_age(gateways[number], other, now, delay_s))
        elif kind == "serve":
            freshness = gateways[number]
            holds_key = freshness.version == 1
            if holds_key and may_serve(freshness, now) and revoked_at is not None:
                assert now <= revoked_at + LIMIT_S


def _read(freshness, sent_at, delay_s, version):
    """Read from the store, which may respond at any time during the call."""

    def arrive(at):
        freshness.version = max(freshness.version, version)
        note_store_read(freshness, sent_at)

    return sent_at + delay_s, arrive


def _send_age(sender, receiver, echoed_at, delay_s):
    """Send the age, after the receiver's digest has come."""
    age_sent_at = echoed_at
    age_s, version = age_sent_at - sender.newest_at, sender.version

    def arrive(at):
        note_peer_version(receiver, version, echoed_at - age_s, at)

    return age_sent_at + delay_s, arrive
