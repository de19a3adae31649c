import pytest

from robinspindle.core.forwarding import Request, Resumption
from robinspindle.core.lifetimes import make_lifetime
from robinspindle.core.routes import IDEMPOTENT, STREAM, Backend, Route
from robinspindle.core.streamorigins import StreamOrigin, make_stream_key
from robinspindle.core.streamversions import (
    CLOCK_MARGIN_MS,
    MAX_ATTEMPT_ID_LENGTH,
    UNKNOWN_STREAM,
    StreamBinding,
    find_obstacle,
    is_credible,
    is_unbound,
    list_barred,
    list_generating,
    make_binding,
    may_serve,
)
from robinspindle.core.targets import (
    Announcement,
    Directory,
    apply_announcement,
    drop_gone,
    note_missing,
)

BEGUN_MS = 1_000_000
EARLIER_MS = BEGUN_MS - 60_000
BEFORE = make_lifetime("i1", EARLIER_MS)
ORIGIN = StreamOrigin("s", "v1", BEFORE, BEGUN_MS)


def make_directory(*entries):
    """Make a directory from lifetimes and software versions."""
    directory = Directory()
    for lifetime, version, *role in entries:
        announced = Announcement(
            lifetime, "s", "1.2.3.4:5", "a", 4, False, *role, software_version=version
        )
        apply_announcement(directory, announced, 0.0)
    return directory


def bind(kind=STREAM, resumable=True, resumption=None, id="r1", workspace="red"):
    route = Route("n", "h", "/", kind, 1.0, 1.0, resumable=resumable)
    request = Request(id, "POST", b"/", "h", (), b"", 1.0, 0.0, resumption=resumption)
    return make_binding(route, request, workspace)


def test_a_new_stream_is_remembered_by_its_own_attempt_and_workspace():
    stream = bind()
    assert stream.key == make_stream_key("red", "r1")
    assert stream.key != bind(workspace="blue").key
    assert is_unbound(stream)


def test_a_stream_is_taken_up_by_the_attempt_that_brought_its_first_event():
    stream = bind(id="r2", resumption=Resumption("r1"))
    assert stream.key == bind().key
    assert not is_unbound(stream)


@pytest.mark.parametrize(
    "more",
    [
        {"resumption": Resumption()},
        {"resumable": False, "resumption": Resumption("r1")},
    ],
)
def test_a_take_up_that_nobody_remembers_is_bound_to_an_unknown_stream(more):
    stream = bind(**more)
    assert stream.key is None
    assert find_obstacle(make_directory(), stream) == UNKNOWN_STREAM


@pytest.mark.parametrize("id", ["", "r\t1", "r\xe9", "r" * (MAX_ATTEMPT_ID_LENGTH + 1)])
def test_a_stream_whose_attempt_has_no_usable_id_is_not_remembered(id):
    assert bind(id=id).key is None


def test_requests_that_are_no_streams_are_bound_to_none():
    assert bind(IDEMPOTENT, resumption=Resumption("r1")) == StreamBinding()


def test_prefill_engines_of_any_version_fit_but_generate_nothing():
    directory = make_directory(
        ("a", "v1", "decode"),
        ("b", "v2", "decode"),
        ("c", "v1", "prefill"),
        ("d", "v2", "prefill"),
    )
    stream = StreamBinding(origin=StreamOrigin("s", "v1", "gone", BEGUN_MS))
    assert list_barred(directory, stream) == {"b", "c", "d"}
    assert list_generating(directory) == {"a", "b"}


def test_all_are_barred_from_a_stream_of_unknown_origin():
    directory = make_directory(("a", "v1"), ("b", "v2"))
    assert list_barred(directory, StreamBinding(is_taken_up=True)) == {"a", "b"}


@pytest.mark.parametrize(
    ("start_ms", "version", "expected"),
    [
        (BEGUN_MS - 1, "v2", False),
        (BEGUN_MS + CLOCK_MARGIN_MS, "v2", False),
        (BEGUN_MS + CLOCK_MARGIN_MS + 1, "v2", True),
        (BEGUN_MS - 1, "v1", True),
        (EARLIER_MS - 1, "v2", True),
        (EARLIER_MS, "v2", False),
    ],
)
def test_an_origin_is_credible_unless_a_later_lifetime_may_have_begun_the_stream(
    start_ms, version, expected
):
    directory = make_directory((make_lifetime("i1", start_ms), version))
    assert is_credible(directory, ORIGIN) is expected


@pytest.mark.parametrize(
    ("start_ms", "expected"), [(BEGUN_MS, False), (BEGUN_MS + 60_000, True)]
)
def test_a_later_lifetime_that_is_gone_is_still_doubted(start_ms, expected):
    directory = make_directory((make_lifetime("i1", start_ms), "v2"))
    note_missing(directory, 10.0, "i1")
    assert drop_gone(directory, 100.0)
    assert is_credible(directory, ORIGIN) is expected


def test_an_origin_is_credible_when_its_target_or_all_of_its_id_are_gone():
    assert is_credible(make_directory(), ORIGIN)
    directory = make_directory((BEFORE, "v1"))
    note_missing(directory, 10.0, "i1")
    drop_gone(directory, 100.0)
    assert is_credible(directory, ORIGIN)


def test_an_entry_without_a_start_that_changes_its_version_is_doubted():
    origin = StreamOrigin("s", "v1", "i1", BEGUN_MS)
    assert not is_credible(make_directory(("i1", "v2")), origin)


def test_a_stream_goes_to_its_service_only_where_its_route_does():
    backends = (Backend("s", 1.0), Backend("old", 0.0))
    route = Route("n", "h", "/", STREAM, 1.0, 1.0, backends=backends)
    assert may_serve(route, ORIGIN)
    for service in ("old", "other"):
        assert not may_serve(route, StreamOrigin(service, "v1", BEFORE, BEGUN_MS))
