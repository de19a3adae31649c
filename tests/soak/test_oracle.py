import pytest

from soak.oracle import Oracle, expect_answer, expect_body


def make(kind):
    oracle = Oracle()
    oracle.note_sent("r-1", kind)
    return oracle


def test_what_nobody_sent_and_what_was_changed_is_found():
    oracle = make("once")
    oracle.note_run("r-2", b"")
    oracle.note_run("r-1", b"other")
    assert len(oracle.findings) == 2


def test_a_second_run_is_found_only_where_it_is_not_allowed():
    for kind, findings in (("once", 1), ("chat", 1), ("safe", 0), ("digest", 0)):
        oracle = make(kind)
        for _ in range(2):
            oracle.note_run("r-1", expect_body("r-1"))
        assert len(oracle.findings) == findings


def test_a_promise_that_is_broken_before_or_after_is_found():
    for first in ("run", "answer"):
        oracle = make("once")
        if first == "run":
            oracle.note_run("r-1", expect_body("r-1"))
        oracle.note_answer("r-1", 503, b"busy\n", True)
        if first == "answer":
            oracle.note_run("r-1", expect_body("r-1"))
        oracle.check_promises()
        assert len(oracle.findings) == 1


def test_a_success_with_another_body_is_found_and_a_broken_one_is_not_a_success():
    oracle = make("chat")
    oracle.note_answer("r-1", 200, expect_answer("r-1", "chat")[:-10], False)
    assert not oracle.findings
    oracle.note_answer("r-1", 200, expect_answer("r-1", "chat")[:-10], True)
    assert len(oracle.findings) == 1


@pytest.mark.parametrize("status", [0, 99, 103, 600, 999])
def test_a_status_that_no_answer_has_is_found(status):
    oracle = make("safe")
    oracle.note_answer("r-1", status, b"ok", True)
    assert len(oracle.findings) == 1
