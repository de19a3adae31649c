"""Which engines of several software versions have to generate answers.

A stream goes on only at a decode engine of the version that began it. Where a service
has several versions, each of them keeps decode engines, whatever the others have.
"""

import math
from collections import defaultdict
from collections.abc import Sequence
from collections.abc import Set as AbstractSet

from robinspindle.core import health
from robinspindle.core.estimates import Pair
from robinspindle.core.targets import DECODE_ROLE, Directory, Target

MIN_ENGINES = 2
"""Minimum number of a version's engines of which one has to generate."""

MIN_LEFT = 2
"""Minimum number of decode engines that a version is left with when one is taken: its
streams go on at the other where one crashes."""


def list_lacking(
    engines: Sequence[Pair], covered: AbstractSet[str] = frozenset()
) -> list[list[Pair]]:
    """List the engines of each version of which none generates, though it has several.

    Args:
        engines: All usable engines of a service.
        covered: Versions that have another engine that generates; see `list_covered`.

    Returns:
        One list for each such version; none where all engines are of one version.
    """
    by_version = _group(engines)
    if len(by_version) < 2:
        return []
    generating = count_decode_engines(engines)
    return [
        pairs
        for version, pairs in by_version.items()
        if len(pairs) >= MIN_ENGINES
        and version not in covered
        and not generating[version]
    ]


def list_spare(
    ranked: Sequence[Pair], engines: Sequence[Pair], min_decode_share: float
) -> list[Pair]:
    """List the decode engines that their versions can spare.

    Args:
        ranked: The decode engines, the first to be taken first.
        engines: All usable engines of the service.
        min_decode_share: Minimum share of a version's engines that stay decode engines.

    Returns:
        All of `ranked` where all engines are of one version, which is not limited here.
    """
    by_version = _group(engines)
    if len(by_version) < 2:
        return list(ranked)
    left = count_decode_engines(engines)
    for version, pairs in by_version.items():
        left[version] -= max(MIN_LEFT, math.ceil(len(pairs) * min_decode_share))
    spare = []
    for pair in ranked:
        version = pair[0].announced.software_version
        if left[version] > 0:
            left[version] -= 1
            spare.append(pair)
    return spare


def count_decode_engines(engines: Sequence[Pair]) -> dict[str, int]:
    """Count the decode engines of each version, also of one that has none."""
    return {
        version: sum(not engine.prefill_only for _, engine in pairs)
        for version, pairs in _group(engines).items()
    }


def list_covered(directory: Directory, service: str, now: float) -> set[str]:
    """List the versions that generate, or soon will, at an engine that is not usable.

    Args:
        directory: The known targets.
        service: The service.
        now: The current time, monotonic seconds.
    """
    return {
        target.announced.software_version
        for target in directory.targets.values()
        if target.announced.service == service and _generates_soon(target, now)
    }


def _generates_soon(target: Target, now: float) -> bool:
    """Return whether an engine is a decode engine that is full, or is becoming one."""
    if not health.may_get_work(target, now) or now < target.backoff_until:
        return False
    if health.is_switching(target, now):
        return target.switching_to == DECODE_ROLE
    return target.announced.role == DECODE_ROLE


def _group(engines: Sequence[Pair]) -> dict[str, list[Pair]]:
    by_version: dict[str, list[Pair]] = defaultdict(list)
    for pair in engines:
        by_version[pair[0].announced.software_version].append(pair)
    return by_version
