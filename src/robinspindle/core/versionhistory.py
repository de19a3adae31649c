"""Which software versions of a service have been listed lately."""

from dataclasses import dataclass, field

from robinspindle.core.targets import Announcement, Directory


@dataclass
class VersionHistory:
    """The versions of each service.

    Attributes:
        listed_at: When each version of each service was last known to be listed,
            monotonic seconds.
    """

    listed_at: dict[str, dict[str, float]] = field(default_factory=dict)


def note_listed(history: VersionHistory, announced: Announcement, now: float) -> None:
    """Record that a target is listed, or was until now."""
    versions = history.listed_at.setdefault(announced.service, {})
    versions[announced.software_version] = now


def list_recent_versions(
    history: VersionHistory, directory: Directory, service: str, since: float
) -> set[str]:
    """List the versions of a service that have been listed after a time.

    Args:
        history: The versions that were listed.
        directory: The targets that are listed.
        service: The service.
        since: The time, monotonic seconds.
    """
    listed_at = history.listed_at.get(service, {})
    recent = {version for version, at in listed_at.items() if at > since}
    return recent | {
        target.announced.software_version
        for target in directory.targets.values()
        if target.announced.service == service
    }
