"""Which software versions of a service have been listed lately.

Where a service has had one version for longer than any stream lasts, that version began
every stream of it, also one of which no gateway remembers who began it.
"""

import math
from dataclasses import dataclass, field

from robinspindle.core.targets import Announcement, Directory

STREAM_TIME_LIMITS = 2
"""Time limits of a route in which a stream that is taken up has begun: that of the
attempt that began it and that of the one that goes on."""


@dataclass
class VersionHistory:
    """The versions of each service.

    Attributes:
        first_at: When the first target of each service was listed, monotonic seconds.
        listed_at: When each version of each service was last known to be listed,
            monotonic seconds.
    """

    first_at: dict[str, float] = field(default_factory=dict)
    listed_at: dict[str, dict[str, float]] = field(default_factory=dict)


def note_listed(history: VersionHistory, announced: Announcement, now: float) -> None:
    """Record that a target is listed, or was until now."""
    history.first_at.setdefault(announced.service, now)
    versions = history.listed_at.setdefault(announced.service, {})
    versions[announced.software_version] = now


def find_sole_version(
    history: VersionHistory,
    directory: Directory,
    service: str,
    time_limit_s: float,
    now: float,
) -> str | None:
    """Find the version that began every stream that may still be taken up.

    Args:
        history: The versions that were listed.
        directory: The targets that are listed.
        service: The service.
        time_limit_s: Time limit of the stream's route, seconds.
        now: The current time, monotonic seconds.

    Returns:
        None if there were several, or the list is not known for long enough.
    """
    since = now - STREAM_TIME_LIMITS * time_limit_s
    if history.first_at.get(service, math.inf) > since:
        return None
    listed_at = history.listed_at.get(service, {})
    versions = {version for version, at in listed_at.items() if at > since}
    versions |= {
        target.announced.software_version
        for target in directory.targets.values()
        if target.announced.service == service
    }
    return versions.pop() if len(versions) == 1 else None
