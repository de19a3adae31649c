import pytest
from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core import forwarding
from robinspindle.core.forwarding import Request
from robinspindle.core.routes import Route


def make_route(kind="idempotent", attempts=2, resumable=False):
    return Route(
        "r", "h", "/r/", kind, 2.0, 0.2, attempts=attempts, resumable=resumable
    )


def make_request(wait_s):
    return Request("r1", "POST", b"/r/?q", "h", (), b"", wait_s, 10.0)


@pytest.mark.parametrize(
    ("wait_s", "deadline"), [(None, 12.0), (0.5, 10.5), (9.0, 12.0)]
)
def test_deadline_is_the_earlier_of_caller_and_route_timeout(wait_s, deadline):
    assert forwarding.find_deadline(make_request(wait_s), make_route()) == deadline


@given(
    st.sampled_from(["idempotent", "at-most-once", "stream"]),
    st.booleans(),
    st.integers(1, 4),
    st.integers(0, 5),
    st.integers(0, 5),
)
def test_at_most_once_request_is_not_sent_again_after_it_may_have_run(
    kind, resumable, attempts, sends, runs
):
    route = make_route(kind, attempts, resumable)
    may_send = forwarding.may_send_again(route, sends, runs)
    if may_send and runs:
        assert kind == "idempotent" or resumable
        assert runs < attempts
    if may_send:
        assert sends < forwarding.MAX_SENDS


def test_refusals_differ_by_whether_the_request_may_have_run():
    assert forwarding.refuse_not_run("busy", 0.3, 3.0).status == 503
    assert forwarding.refuse_unknown_outcome(1.0).status == 502
    assert forwarding.refuse_unknown_outcome(0.0).status == 504


def test_retry_hint_is_at_most_a_third_of_the_time_left():
    assert forwarding.refuse_not_run("busy", 0.6, 0.9).retry_s == pytest.approx(0.3)


@pytest.mark.parametrize(("seconds", "text"), [(0.3, b"0.3"), (0.301, b"0.31")])
def test_retry_hint_keeps_its_fraction_and_is_rounded_up(seconds, text):
    assert forwarding.format_retry_after(seconds) == text


def test_path_excludes_the_query():
    assert make_request(None).path == "/r/"
