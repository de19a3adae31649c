"""Deliberate faults in how keys are taken away, each to be noticed."""

from fuzz.mutants import Mutant
from robinspindle import peerfacts
from robinspindle.core import freshness, permits

FOR_EVER_S = 1e6


def _count_from_answer(right):
    """Take an answer for as fresh as when it was read."""

    def note(known, sent_at):
        known.newest_at = _read_present(known)

    return note


def _take_as_of_arrival(right):
    """Take a peer's age as of the arrival of its datagram."""

    def note(known, version, as_of, now):
        right(known, version, now, now)

    return note


def _ignore_versions(right):
    """Renew by what a peer says of any version."""

    def note(known, version, as_of, now):
        right(known, known.version, as_of, now)

    return note


def _trust_for_ever(right):
    def note(known, sent_at):
        known.newest_at = FOR_EVER_S

    return note


def _tell_no_age(right):
    """Tell a configuration as fresh whenever it was checked."""

    def describe(self):
        checked = right(self)
        if checked is not None:
            checked.age_ms = 0
        return checked

    return describe


def _count_by_wall(right):
    """Count an age by the time of day, which may be set back."""

    def take(self, facts, as_of):
        right(self, facts, as_of - self.book.beyond + self.book._read_own() + 3.0)

    return take


def _read_present(known):
    return max(known.newest_at, known.peer_renewed_at, 0.0) + 3.0


KEY_MUTANTS = (
    Mutant("serve whatever the age", permits, "may_serve", lambda r: lambda *_: True),
    Mutant("count from the answer", freshness, "note_store_read", _count_from_answer),
    Mutant(
        "take ages as of arrival", peerfacts, "note_peer_version", _take_as_of_arrival
    ),
    Mutant("believe any version", peerfacts, "note_peer_version", _ignore_versions),
    Mutant("trust for ever", freshness, "note_store_read", _trust_for_ever),
    Mutant("tell no age", peerfacts.PeerFacts, "_describe_checked", _tell_no_age),
    Mutant("ages by wall clock", peerfacts.PeerFacts, "_take_checked", _count_by_wall),
    Mutant("look at a key once", permits, "is_revoked", lambda r: lambda *_: False),
    Mutant("deny whatever the age", permits, "may_deny", lambda r: lambda *_: True),
    Mutant("know no key", permits, "find_owner", lambda r: lambda *_: None),
)
