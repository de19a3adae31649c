from robinspindle.core.targets import Announcement, Directory, apply_announcement
from robinspindle.core.versionhistory import (
    VersionHistory,
    find_sole_version,
    note_listed,
)

LIMIT_S = 5.0


def announce(history, directory, lifetime, version, now):
    announced = Announcement(
        lifetime, "lm", "127.0.0.1:1", "a", 1, software_version=version
    )
    apply_announcement(directory, announced, now)
    note_listed(history, announced, now)


def find(history, directory, now):
    return find_sole_version(history, directory, "lm", LIMIT_S, now)


def test_a_version_is_sole_once_no_earlier_stream_can_be_taken_up():
    history, directory = VersionHistory(), Directory()
    assert find(history, directory, 0.0) is None
    announce(history, directory, "i1", "v1", 1.0)
    assert find(history, directory, 10.9) is None
    assert find(history, directory, 11.1) == "v1"


def test_no_version_is_sole_beside_another_or_soon_after_one_left():
    history, directory = VersionHistory(), Directory()
    announce(history, directory, "i1", "v1", 0.0)
    announce(history, directory, "i2", "v2", 20.0)
    assert find(history, directory, 100.0) is None
    left = directory.targets.pop("i1")
    note_listed(history, left.announced, 100.0)
    assert find(history, directory, 109.0) is None
    assert find(history, directory, 111.0) == "v2"


def test_a_new_version_ends_the_certainty_at_once():
    history, directory = VersionHistory(), Directory()
    announce(history, directory, "i1", "v1", 0.0)
    assert find(history, directory, 50.0) == "v1"
    announce(history, directory, "i1@5", "v2", 50.0)
    assert find(history, directory, 50.0) is None
