"""Deliberate faults in what gateways make of targets' words, each to be noticed."""

import math

from fuzz.mutants import Mutant
from robinspindle import targettraffic
from robinspindle.core import health, obstacles, statements, targets
from robinspindle.core.lifetimes import find_id
from robinspindle.core.statements import Statements


def _keep_by_id(real):
    def apply(directory, announced, now):
        earlier = targets.list_lifetimes(directory, find_id(announced.lifetime))
        result = real(directory, announced, now)
        target = directory.targets.get(announced.lifetime)
        if target is not None and earlier:
            target.stated = earlier[0].stated
        return result

    return apply


def _believe_entries(real):
    def apply(directory, announced, now):
        result = real(directory, announced, now)
        target = directory.targets.get(announced.lifetime)
        if target is not None:
            target.stated.leaving = announced.leaving
        return result

    return apply


def _end_rest_by_entries(real):
    def apply(directory, announced, now):
        result = real(directory, announced, now)
        target = directory.targets.get(announced.lifetime)
        if target is not None:
            target.stated.rest_until = -math.inf
        return result

    return apply


def _forget_with_entry(real):
    def drop(directory, now):
        dropped = real(directory, now)
        for lifetime in directory.ended_lifetimes:
            directory.ended_lifetimes[lifetime] = Statements()
        return dropped

    return drop


def _take_latest_rest(real):
    def note(stated, rest_s, now):
        stated.rest_until = now + rest_s if rest_s else stated.rest_until

    return note


def _withdraw_leaving(real):
    def note(stated, leaving):
        stated.leaving = leaving

    return note


def _rest_for_ever(real):
    def note(stated, rest_s, now):
        return real(stated, rest_s * 1000, now)

    return note


def _mind_no_rest(real):
    def find(target, now, share_per_s=None):
        found = real(target, now, share_per_s)
        is_rest = found and found.reason is obstacles.ObstacleReason.RESTING
        return None if is_rest else found

    return find


def _mind_nothing(real):
    return lambda target, now, share_per_s=None: None


STATEMENT_MUTANTS = (
    Mutant("keep statements by id", targets, "apply_announcement", _keep_by_id),
    Mutant("believe entries", targets, "apply_announcement", _believe_entries),
    Mutant("end rests by entries", targets, "apply_announcement", _end_rest_by_entries),
    Mutant("forget with the entry", targets, "drop_gone", _forget_with_entry),
    Mutant("take the latest rest", statements, "_note_rest", _take_latest_rest),
    Mutant("withdraw leaving", statements, "_note_leaving", _withdraw_leaving),
    Mutant("rest for ever", statements, "_note_rest", _rest_for_ever),
    Mutant("hear nothing", statements, "note_head", lambda real: lambda *_: []),
    Mutant("believe anyone", statements, "is_own", lambda real: lambda *_: True),
    Mutant(
        "look at the choice only", targettraffic, "find_send_obstacle", _mind_nothing
    ),
    Mutant(
        "mind rest at the choice only",
        targettraffic,
        "find_send_obstacle",
        _mind_no_rest,
    ),
    Mutant("choose who rests", health, "find_send_obstacle", _mind_no_rest),
)
