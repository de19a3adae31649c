"""Validation of what a peer sends: shapes and ranges.

Datagrams may be forged or come from another release. Their values must not make the
aggregation fail, nor corrupt its totals permanently.
"""

from robinspindle.core.crashupdates import are_updates_valid
from robinspindle.core.decoding import MAX_WHOLE
from robinspindle.core.eras import MAX_ERA
from robinspindle.core.forwarding import MAX_TOKENS
from robinspindle.core.peerdigests import (
    Cache,
    ConfigurationAge,
    Digest,
    Facts,
    Placement,
    TargetLoad,
)
from robinspindle.core.prefillmodel import FitSums
from robinspindle.core.priorities import LEVELS
from robinspindle.core.targetspeeds import MAX_TOLD_SPEEDS, SpeedSums, are_sums_valid
from robinspindle.core.usage import is_valid_account

MAX_REQUESTS = 100_000
"""Maximum number of requests at one engine: about a hundred times what the largest
current engines accept."""

MAX_BACKLOG_MS = 3_600_000
"""Maximum prefill backlog of one engine, and prefill time of one prompt, milliseconds:
one hour."""

MAX_AGE_MS = 1 << 40
"""Maximum age of a configuration, milliseconds: 30 years."""

MAX_WALL_MS = 1 << 43
"""Latest valid time of day, Unix milliseconds: the year 2248."""

MAX_SUM = 1e12
"""Maximum value of a decaying sum over measurements: 100 measurements of weight 1,
scaled."""


def find_fault(digest: Digest) -> str | None:
    """Find which part of a digest is invalid; None if it is valid."""
    if digest.number < 0 or not 0 <= digest.started <= MAX_WALL_MS / 1000:
        return "number or start"
    if not all(_is_load_valid(load) for load in digest.loads):
        return "loads"
    if not all(_is_placement_valid(placement) for placement in digest.placements):
        return "placements"
    rates = (*digest.prefill_loads.values(), *digest.rate_limits.values())
    if not all(0.0 <= rate < MAX_SUM for rate in rates):
        return "rates"
    if not all(_are_sums_valid(one.sums) for one in digest.prefill_statistics):
        return "paces"
    if not all(_is_cache_valid(cache) for cache in digest.caches):
        return "caches"
    if not 0 <= digest.era <= MAX_ERA:
        return "era"
    if digest.requests is not None and not are_updates_valid(digest.requests):
        return "requests"
    if digest.speeds is not None and not _are_speeds_valid(digest.speeds):
        return "speeds"
    return None


def are_facts_valid(facts: Facts) -> bool:
    """Whether the facts that a peer sent are valid."""
    clocks = (facts.wall_ms, facts.agreed_ms)
    return (
        (facts.configuration_age is None or _is_age_valid(facts.configuration_age))
        and all(0 <= ms <= MAX_WALL_MS for ms in clocks)
        and all(is_valid_account(account) for account in facts.counts)
        and all(0 <= window <= MAX_WHOLE for window in facts.reported)
    )


def _is_age_valid(age: ConfigurationAge) -> bool:
    return 0 <= age.version <= MAX_WHOLE and 0 <= age.age_ms <= MAX_AGE_MS


def _is_load_valid(load: TargetLoad) -> bool:
    return (
        len(load.backlog_ms) == LEVELS
        and all(0 <= ms <= MAX_BACKLOG_MS for ms in load.backlog_ms)
        and 0 <= load.in_flight <= MAX_REQUESTS
        and 0 <= load.long_answers <= MAX_REQUESTS
        and load.heard_ms_ago >= 0
        and 0 <= load.set_aside <= MAX_REQUESTS
        and 0 <= load.tokens <= MAX_REQUESTS * MAX_TOKENS
    )


def _is_placement_valid(placement: Placement) -> bool:
    return (
        0 <= placement.prefill_ms <= MAX_BACKLOG_MS
        and 0 <= placement.level < LEVELS
        and all(0 <= tokens <= MAX_TOKENS for _, tokens in placement.parts)
    )


def _is_cache_valid(cache: Cache) -> bool:
    return all(0 <= tokens <= MAX_TOKENS for _, tokens in cache.parts)


def _are_speeds_valid(speeds: list[SpeedSums]) -> bool:
    return len(speeds) <= MAX_TOLD_SPEEDS and all(map(are_sums_valid, speeds))


def _are_sums_valid(sums: FitSums) -> bool:
    values = (sums.weight, *sums.products, *sums.results)
    return all(0.0 <= value < MAX_SUM for value in values)
