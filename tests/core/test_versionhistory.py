from robinspindle.core.targets import Announcement, Directory, apply_announcement
from robinspindle.core.versionhistory import (
    VersionHistory,
    list_recent_versions,
    note_listed,
)


def announce(history, directory, lifetime, version, now):
    announced = Announcement(
        lifetime, "lm", "127.0.0.1:1", "a", 1, software_version=version
    )
    apply_announcement(directory, announced, now)
    note_listed(history, announced, now)


def test_versions_are_recent_while_listed_and_for_a_while_after():
    history, directory = VersionHistory(), Directory()
    announce(history, directory, "i1", "v1", 0.0)
    announce(history, directory, "i2", "v2", 20.0)
    assert list_recent_versions(history, directory, "lm", 50.0) == {"v1", "v2"}
    left = directory.targets.pop("i1")
    note_listed(history, left.announced, 100.0)
    assert list_recent_versions(history, directory, "lm", 99.0) == {"v1", "v2"}
    assert list_recent_versions(history, directory, "lm", 101.0) == {"v2"}


def test_versions_of_another_service_do_not_count():
    history, directory = VersionHistory(), Directory()
    announce(history, directory, "i1", "v1", 0.0)
    assert list_recent_versions(history, directory, "push", 0.0) == set()
