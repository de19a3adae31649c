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


@pytest.mark.parametrize(("wait_s", "due"), [(None, 12.0), (0.5, 10.5), (9.0, 12.0)])
def test_the_answer_is_due_at_the_sooner_of_caller_and_route(wait_s, due):
    assert forwarding.find_deadline(make_request(wait_s), make_route()) == due


@given(
    st.sampled_from(["idempotent", "at-most-once", "stream"]),
    st.booleans(),
    st.integers(1, 4),
    st.integers(0, 5),
    st.integers(0, 5),
)
def test_what_may_run_once_is_never_sent_again_after_it_may_have_run(
    kind, resumable, attempts, offers, runs
):
    route = make_route(kind, attempts, resumable)
    again = forwarding.may_send_again(route, offers, runs)
    if again and runs:
        assert kind == "idempotent" or resumable
        assert runs < attempts
    if again:
        assert offers < forwarding.MAX_SENDS


def test_only_what_did_not_run_is_answered_as_not_run():
    assert forwarding.refuse_not_run("busy", 0.3, 3.0).status == 503
    assert forwarding.refuse_unknown_outcome(1.0).status == 502
    assert forwarding.refuse_unknown_outcome(0.0).status == 504


def test_a_caller_is_not_told_to_come_back_later_than_it_would_honour():
    assert forwarding.refuse_not_run("busy", 0.6, 0.9).retry_s == pytest.approx(0.3)


@pytest.mark.parametrize(("seconds", "text"), [(0.3, b"0.3"), (0.301, b"0.31")])
def test_a_hint_keeps_its_fraction_and_is_never_too_short(seconds, text):
    assert forwarding.format_retry_after(seconds) == text


def test_the_path_has_no_query():
    assert make_request(None).path == "/r/"
