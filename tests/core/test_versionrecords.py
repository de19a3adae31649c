import pytest

from robinspindle.core import versionrecords
from robinspindle.core.routes import Backend, CallerLimits, Route, make_table
from robinspindle.core.targets import Announcement, Directory, apply_announcement
from robinspindle.core.versionhistory import VersionHistory, note_listed
from robinspindle.core.versionrecords import (
    FORGET_MARGIN_S,
    RETIRE_AFTER_S,
    ServiceVersion,
    Use,
    VersionRecord,
    VersionRecords,
    forget_record,
    list_forgettable,
    list_missing,
    list_outdated,
    list_possible,
    list_retirable,
    may_begin,
    note_record,
)
from robinspindle.exceptions import BadDocumentError

V1, V2 = ServiceVersion("lm", "v1"), ServiceVersion("lm", "v2")
BEGINS, RETIRED = VersionRecord(Use.BEGINS), VersionRecord(Use.RETIRED)
ERA = 0


class World:
    def __init__(self):
        self.records = VersionRecords()
        self.directory = Directory()
        self.history = VersionHistory()

    def announce(self, lifetime, version, now=0.0):
        announced = Announcement(
            lifetime, "lm", "127.0.0.1:1", "a", 1, software_version=version
        )
        apply_announcement(self.directory, announced, now)
        note_listed(self.history, announced, now)

    def remove(self, lifetime, now):
        target = self.directory.targets.pop(lifetime)
        note_listed(self.history, target.announced, now)

    def note(self, version, record, now=0.0):
        note_record(self.records, version, record, now)

    def list_missing(self, era=ERA):
        return list_missing(self.records, self.directory, {"lm"}, era)

    def list_retirable(self, now, era=ERA):
        return list_retirable(self.records, self.directory, self.history, era, now)


def test_no_stream_begins_at_a_version_without_a_record():
    world = World()
    world.announce("i1", "v1")
    assert not may_begin(world.records, V1, ERA)
    assert world.list_missing() == [V1]
    world.note(V1, BEGINS)
    assert may_begin(world.records, V1, ERA)
    assert world.list_missing() == []


def test_a_record_of_an_earlier_era_is_written_again_and_still_possible():
    world = World()
    world.announce("i1", "v1")
    world.note(V1, BEGINS)
    assert not may_begin(world.records, V1, 1)
    assert world.list_missing(era=1) == [V1]
    assert list_possible(world.records, "lm") == {"v1"}


def test_records_of_earlier_eras_are_outdated():
    world = World()
    world.note(V1, BEGINS)
    world.note(V2, VersionRecord(Use.RETIRED, 1))
    assert list_outdated(world.records, 0) == []
    assert list_outdated(world.records, 1) == [V1]
    assert list_outdated(world.records, 2) == [V1, V2]


def test_a_version_is_retired_only_when_others_serve_and_it_has_not_for_long():
    world = World()
    world.announce("i1", "v1")
    world.note(V1, BEGINS)
    assert world.list_retirable(1000.0) == []
    world.remove("i1", 100.0)
    assert world.list_retirable(1000.0) == []
    world.announce("i2", "v2", 100.0)
    world.note(V2, BEGINS, 100.0)
    assert world.list_retirable(100.0 + RETIRE_AFTER_S) == []
    assert world.list_retirable(100.1 + RETIRE_AFTER_S) == [V1]


def test_a_version_that_is_back_after_its_retirement_is_recorded_again():
    world = World()
    world.note(V1, RETIRED)
    assert not may_begin(world.records, V1, ERA)
    world.announce("i1", "v1")
    assert world.list_missing() == [V1]


def test_a_retired_version_is_possible_until_none_of_its_streams_can_be_taken_up():
    world = World()
    world.note(V1, RETIRED, 10.0)
    world.note(V1, RETIRED, 30.0)
    kept_s = 2 * 15.0 + FORGET_MARGIN_S
    assert list_forgettable(world.records, 15.0, 30.0 + kept_s) == []
    assert list_forgettable(world.records, 15.0, 30.1 + kept_s) == [V1]
    assert list_possible(world.records, "lm") == {"v1"}
    forget_record(world.records, V1)
    assert list_possible(world.records, "lm") == set()


def test_a_version_at_which_streams_begin_is_never_forgotten():
    world = World()
    world.note(V1, BEGINS)
    assert list_forgettable(world.records, 15.0, 1e9) == []


def test_only_services_with_streams_that_may_be_taken_up_have_records():
    def make_route(name, kind, resumable, service, timeout_s):
        return Route(
            name, "h", f"/{name}/", kind, timeout_s, 1.0,
            backends=(Backend(service),), resumable=resumable,
        )  # fmt: skip

    table = make_table(
        1,
        [
            make_route("digest", "stream", True, "lm", 15.0),
            make_route("chat", "stream", False, "lm2", 40.0),
            make_route("safe", "idempotent", False, "push", 60.0),
        ],
        [],
        CallerLimits(),
    )
    assert versionrecords.list_resumable_services(table) == {"lm"}
    assert versionrecords.find_longest_limit(table) == 15.0
    assert versionrecords.list_resumable_services(None) == set()
    assert versionrecords.find_longest_limit(None) == 0.0


@pytest.mark.parametrize("names", [("lm", "v1"), ("a/b", "3/v"), ("", ""), ("é", "ü")])
def test_a_key_names_its_version(names):
    version = ServiceVersion(*names)
    key = versionrecords.make_key(version)
    assert versionrecords.is_key(key)
    assert versionrecords.read_key(key) == version


@pytest.mark.parametrize("key", ["version/", "version/x/lm", "version/9/lm"])
def test_a_key_without_a_version_is_not_believed(key):
    with pytest.raises(BadDocumentError):
        versionrecords.read_key(key)


def test_a_record_is_read_as_it_was_written():
    record = VersionRecord(Use.RETIRED, 3)
    value = versionrecords.encode_record(record)
    assert versionrecords.decode_record(value) == record


@pytest.mark.parametrize("value", [b"", b"{}", b'{"use":"x","era":1}', b"\xff"])
def test_a_malformed_record_is_not_believed(value):
    with pytest.raises(BadDocumentError):
        versionrecords.decode_record(value)


def test_long_names_get_no_record():
    assert versionrecords.is_recordable(ServiceVersion("lm", "v" * 100))
    assert not versionrecords.is_recordable(ServiceVersion("lm", "v" * 101))


@pytest.mark.parametrize("size", ["02", " 2", "2 ", "0000000000002"])
def test_a_key_that_is_written_otherwise_names_no_version(size):
    """Guards against a record that is forgotten as another one of it is dropped."""
    with pytest.raises(BadDocumentError):
        versionrecords.read_key(f"version/{size}/lmv1")
