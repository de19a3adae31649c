"""Room for streams that can go on at one software version only.

A stream that is taken up has nowhere else to go, while a new one may begin at any
version. Where several versions are listed, take-ups are refused only if they can't
begin in time, and new streams leave the last free slots of each version to them.
"""

from collections import Counter
from collections.abc import Sequence

from robinspindle.core import health
from robinspindle.core.decodeplacement import count_requests
from robinspindle.core.estimates import Pair
from robinspindle.core.prefillplacement import TIMEOUT_SHARE
from robinspindle.core.requestplans import RequestPlan
from robinspindle.core.targets import Directory

RESERVED_SLOT_SHARE = 1 / 4
"""Share of the slots of a version's decode engines that new streams leave free while
another version has more of its slots free."""


def has_several_versions(directory: Directory, service: str, now: float) -> bool:
    """Return whether targets of several versions of a service may get work."""
    versions = {
        target.announced.software_version
        for target in directory.targets.values()
        if target.announced.service == service and health.may_get_work(target, now)
    }
    return len(versions) > 1


def should_refuse_take_up(plan: RequestPlan, timeout_s: float) -> bool:
    """Check whether to refuse a take-up: it can't begin before its caller gives up.

    Args:
        plan: The best plan for it.
        timeout_s: Time until the caller gives up if it receives no event, seconds.
    """
    begins_s = plan.slot_wait_s + plan.first_event_s
    return begins_s > timeout_s * TIMEOUT_SHARE


def list_open(pairs: Sequence[Pair]) -> list[Pair]:
    """List the engines that may serve a new stream.

    Args:
        pairs: The engines that may get work.

    Returns:
        All but the decode engines of versions that have few slots free; all if no
        version has more of them free, or all engines are of one version.
    """
    slots, taken = Counter[str](), Counter[str]()
    for pair in pairs:
        if not pair[1].prefill_only:
            version = pair[0].announced.software_version
            slots[version] += pair[0].announced.slots
            taken[version] += count_requests(pair)
    scarce = {v for v in slots if taken[v] >= slots[v] * (1 - RESERVED_SLOT_SHARE)}
    if len(scarce) == len(slots):
        return list(pairs)
    return [
        pair
        for pair in pairs
        if pair[1].prefill_only or pair[0].announced.software_version not in scarce
    ]
