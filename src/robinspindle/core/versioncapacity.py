"""Room for streams that can go on at one software version only.

A stream that is taken up has nowhere else to go, while a new one may begin at any
version. Where several versions are listed, take-ups are refused only if they can't
begin in time.
"""

from robinspindle.core import health
from robinspindle.core.prefillplacement import TIMEOUT_SHARE
from robinspindle.core.requestplans import RequestPlan
from robinspindle.core.targets import Directory


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
