"""Aggregation of digests by a relay.

The state that a gateway sent is subtracted from the total that is sent back to it, so
that no gateway counts its own requests twice.
"""

from collections.abc import Iterable
from functools import reduce
from operator import or_

import msgspec

from robinspindle.core.crashupdates import RequestUpdates, merge_updates
from robinspindle.core.peerdigests import Digest, PrefillStatistics, TargetLoad
from robinspindle.core.prefillmodel import add_fit_sums
from robinspindle.core.targetspeeds import (
    SpeedSums,
    add_sums,
    subtract_sums,
    take_turn,
)

MAX_GROUP_PLACEMENTS = 96
"""Maximum number of placements in the digest of a group: about 9 KB."""


def merge_unsent(last: Digest | None, digest: Digest) -> Digest:
    """Merge a gateway's newest digest with its state that was not forwarded yet.

    Args:
        last: The earlier digest with state that was not forwarded; None if there is
            none.
        digest: The newest digest.
    """
    if last is None or last.started != digest.started:
        return digest
    return msgspec.structs.replace(
        digest,
        placements=(last.placements + digest.placements)[-MAX_GROUP_PLACEMENTS:],
        role_changes=last.role_changes + digest.role_changes,
        prefill_statistics=digest.prefill_statistics or last.prefill_statistics,
        timed_out_targets=sorted({*last.timed_out_targets, *digest.timed_out_targets}),
        caches=last.caches + digest.caches,
        members=last.members if digest.members is None else digest.members,
        requests=_merge_requests([last, digest]),
        speeds=last.speeds if digest.speeds is None else digest.speeds,
    )


def drop_sent(digest: Digest) -> Digest:
    """Remove from a digest the state that is forwarded only once."""
    return msgspec.structs.replace(
        digest,
        placements=[],
        role_changes=[],
        timed_out_targets=[],
        caches=[],
        requests=None,
    )


def aggregate(
    own: Digest,
    others: Iterable[Digest],
    is_full: bool,
    speeds_turn: int | None = None,
) -> Digest:
    """Aggregate the digests of a relay's group.

    Args:
        own: The relay's own digest.
        others: The digests of the gateways that send to the relay.
        is_full: Whether to include the state that changes slowly: the statistics to fit
            the prefill model, and the names of the members.
        speeds_turn: Number of the turn if the speeds of targets are included.
    """
    digests = [own, *others]
    return msgspec.structs.replace(
        own,
        loads=_add_loads(digests),
        placements=[p for d in digests for p in d.placements][-MAX_GROUP_PLACEMENTS:],
        prefill_loads=_add_rates(digests),
        role_changes=[order for digest in digests for order in digest.role_changes],
        prefill_statistics=_add_statistics(digests) if is_full else [],
        timed_out_targets=sorted(
            {lifetime for digest in digests for lifetime in digest.timed_out_targets}
        ),
        caches=[cache for digest in digests for cache in digest.caches],
        members=[digest.sender for digest in digests] if is_full else None,
        topic_ends=_find_ends(digests),
        era=max(digest.era for digest in digests),
        is_relay=True,
        lacks_store=any(d.is_store_unavailable or d.lacks_store for d in digests),
        rate_limits=reduce(or_, (digest.rate_limits for digest in digests)),
        requests=_merge_requests(digests),
        speeds=None if speeds_turn is None else _add_speeds(digests, speeds_turn),
    )


def subtract(total: Digest, one: Digest) -> Digest:
    """Subtract the digest of one gateway from the total that is sent to it."""
    own_loads = {load.lifetime: load for load in one.loads}
    own_placements = {id(placement) for placement in one.placements}
    own_statistics = {
        (statistics.service, statistics.prefill_only): statistics
        for statistics in one.prefill_statistics
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
            _subtract_statistics(
                statistics,
                own_statistics.get((statistics.service, statistics.prefill_only)),
            )
            for statistics in total.prefill_statistics
        ],
        speeds=total.speeds and subtract_sums(total.speeds, one.speeds or []),
    )


def _merge_requests(digests: list[Digest]) -> RequestUpdates | None:
    updates = [digest.requests for digest in digests if digest.requests is not None]
    return reduce(merge_updates, updates) if updates else None


def _add_loads(digests: list[Digest]) -> list[TargetLoad]:
    found: dict[str, TargetLoad] = {}
    for digest in digests:
        for load in digest.loads:
            known = found.get(load.lifetime)
            found[load.lifetime] = load if known is None else _add(known, load)
    return list(found.values())


def _add(first: TargetLoad, second: TargetLoad) -> TargetLoad:
    return TargetLoad(
        first.lifetime,
        first.in_flight + second.in_flight,
        [a + b for a, b in zip(first.backlog_ms, second.backlog_ms, strict=True)],
        first.long_answers + second.long_answers,
        min(first.heard_ms_ago, second.heard_ms_ago),
        first.set_aside + second.set_aside,
        first.tokens + second.tokens,
    )


def _subtract(total: TargetLoad, one: TargetLoad | None) -> TargetLoad:
    if one is None:
        return total
    return TargetLoad(
        total.lifetime,
        total.in_flight - one.in_flight,
        [a - b for a, b in zip(total.backlog_ms, one.backlog_ms, strict=True)],
        total.long_answers - one.long_answers,
        total.heard_ms_ago,
        total.set_aside - one.set_aside,
        total.tokens - one.tokens,
    )


def _add_rates(digests: list[Digest]) -> dict[str, float]:
    rates: dict[str, float] = {}
    for digest in digests:
        for service, rate in digest.prefill_loads.items():
            rates[service] = rates.get(service, 0.0) + rate
    return rates


def _add_statistics(digests: list[Digest]) -> list[PrefillStatistics]:
    found: dict[tuple[str, bool], PrefillStatistics] = {}
    for digest in digests:
        for statistics in digest.prefill_statistics:
            key = (statistics.service, statistics.prefill_only)
            known = found.get(key)
            sums = (
                statistics.sums
                if known is None
                else add_fit_sums(known.sums, statistics.sums)
            )
            found[key] = PrefillStatistics(*key, sums)
    return list(found.values())


def _add_speeds(digests: list[Digest], turn: int) -> list[SpeedSums]:
    return take_turn(
        add_sums(one for digest in digests for one in digest.speeds or ()), turn
    )


def _subtract_statistics(
    total: PrefillStatistics, one: PrefillStatistics | None
) -> PrefillStatistics:
    if one is None:
        return total
    sums = add_fit_sums(total.sums, one.sums, -1.0)
    return PrefillStatistics(total.service, total.prefill_only, sums)


def _find_ends(digests: list[Digest]) -> dict[str, int]:
    """Find the highest end of each topic, from gateways that know the newest store era.

    Offsets of an earlier era are not comparable.
    """
    ends: dict[str, int] = {}
    newest = max(digest.era for digest in digests)
    for digest in digests:
        if digest.era < newest:
            continue
        for topic, end in digest.topic_ends.items():
            ends[topic] = max(end, ends.get(topic, end))
    return ends
