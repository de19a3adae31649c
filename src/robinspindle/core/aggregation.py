"""Adds up what several entries tell, for a relay that speaks for them.

What one entry told is taken out again of the sum that is sent back to it, so that
nobody counts its own work twice.
"""

from collections.abc import Iterable
from functools import reduce

import msgspec

from robinspindle.core.crashupdates import RequestUpdates, merge_updates
from robinspindle.core.peerdigests import Digest, Load, PrefillStatistics
from robinspindle.core.prefillmodel import add_fit_sums

MAX_GROUP_PLACEMENTS = 96
"""Placements that are told for a group at once: about 9 KB."""


def merge_unsent(last: Digest | None, digest: Digest) -> Digest:
    """Add an entry's newest digest to what it told that was not passed on yet.

    Args:
        last: What was not passed on; None for nothing.
        digest: The newest.
    """
    if last is None or last.started != digest.started:
        return digest
    return msgspec.structs.replace(
        digest,
        placements=last.placements + digest.placements,
        role_changes=last.role_changes + digest.role_changes,
        prefill_statistics=digest.prefill_statistics or last.prefill_statistics,
        silent_targets=sorted({*last.silent_targets, *digest.silent_targets}),
        caches=last.caches + digest.caches,
        requests=_join_requests([last, digest]),
    )


def drop_sent(digest: Digest) -> Digest:
    """Drop from a digest what is passed on just once."""
    return msgspec.structs.replace(
        digest,
        placements=[],
        role_changes=[],
        silent_targets=[],
        caches=[],
        requests=None,
    )


def aggregate(own: Digest, others: Iterable[Digest], tells_all: bool) -> Digest:
    """Add up what a relay tells for its group.

    Args:
        own: Its own digest.
        others: Those of the entries for whom it speaks.
        tells_all: Whether also what changes slowly is told: paces and names.
    """
    digests = [own, *others]
    return msgspec.structs.replace(
        own,
        loads=_add_loads(digests),
        placements=[p for d in digests for p in d.placements][-MAX_GROUP_PLACEMENTS:],
        prefill_loads=_add_rates(digests),
        role_changes=[order for digest in digests for order in digest.role_changes],
        prefill_statistics=_add_learnt(digests) if tells_all else [],
        silent_targets=sorted(
            {lifetime for digest in digests for lifetime in digest.silent_targets}
        ),
        caches=[cache for digest in digests for cache in digest.caches],
        members=[digest.sender for digest in digests] if tells_all else None,
        topic_ends=_find_ends(digests),
        era=max(digest.era for digest in digests),
        is_relay=True,
        requests=_join_requests(digests),
    )


def subtract(total: Digest, one: Digest) -> Digest:
    """Take what one entry told out of the sum that is sent to it."""
    own_loads = {load.lifetime: load for load in one.loads}
    own_placements = {id(placement) for placement in one.placements}
    own_learnt = {
        (told.service, told.prefill_only): told for told in one.prefill_statistics
    }
    return msgspec.structs.replace(
        total,
        loads=[_subtract(load, own_loads.get(load.lifetime)) for load in total.loads],
        placements=[p for p in total.placements if id(p) not in own_placements],
        prefill_loads={
            service: max(0.0, rate - one.prefill_loads.get(service, 0.0))
            for service, rate in total.prefill_loads.items()
        },
        prefill_statistics=[
            _unlearn(told, own_learnt.get((told.service, told.prefill_only)))
            for told in total.prefill_statistics
        ],
    )


def _join_requests(digests: list[Digest]) -> RequestUpdates | None:
    told = [digest.requests for digest in digests if digest.requests is not None]
    return reduce(merge_updates, told) if told else None


def _add_loads(digests: list[Digest]) -> list[Load]:
    found: dict[str, Load] = {}
    for digest in digests:
        for load in digest.loads:
            known = found.get(load.lifetime)
            found[load.lifetime] = load if known is None else _add(known, load)
    return list(found.values())


def _add(first: Load, second: Load) -> Load:
    return Load(
        first.lifetime,
        first.in_flight + second.in_flight,
        [a + b for a, b in zip(first.work_ms, second.work_ms, strict=True)],
        first.long_answers + second.long_answers,
        min(first.heard_ms_ago, second.heard_ms_ago),
    )


def _subtract(total: Load, one: Load | None) -> Load:
    if one is None:
        return total
    return Load(
        total.lifetime,
        total.in_flight - one.in_flight,
        [a - b for a, b in zip(total.work_ms, one.work_ms, strict=True)],
        total.long_answers - one.long_answers,
        total.heard_ms_ago,
    )


def _add_rates(digests: list[Digest]) -> dict[str, float]:
    rates: dict[str, float] = {}
    for digest in digests:
        for service, rate in digest.prefill_loads.items():
            rates[service] = rates.get(service, 0.0) + rate
    return rates


def _add_learnt(digests: list[Digest]) -> list[PrefillStatistics]:
    found: dict[tuple[str, bool], PrefillStatistics] = {}
    for digest in digests:
        for told in digest.prefill_statistics:
            key = (told.service, told.prefill_only)
            known = found.get(key)
            sums = told.sums if known is None else add_fit_sums(known.sums, told.sums)
            found[key] = PrefillStatistics(*key, sums)
    return list(found.values())


def _unlearn(
    total: PrefillStatistics, one: PrefillStatistics | None
) -> PrefillStatistics:
    if one is None:
        return total
    sums = add_fit_sums(total.sums, one.sums, -1.0)
    return PrefillStatistics(total.service, total.prefill_only, sums)


def _find_ends(digests: list[Digest]) -> dict[str, int]:
    """Find how far each topic was read by those that know the newest era."""
    ends: dict[str, int] = {}
    newest = max(digest.era for digest in digests)
    for digest in digests:
        if digest.era < newest:
            continue
        for topic, end in digest.topic_ends.items():
            ends[topic] = max(end, ends.get(topic, end))
    return ends
