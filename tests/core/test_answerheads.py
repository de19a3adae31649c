import pytest

from robinspindle.core.answerheads import HeadKind, judge_head


@pytest.mark.parametrize("status", [-1, 0, 1, 20, 99, 101, 600, 700, 999, 1000])
def test_a_status_that_http_does_not_know_begins_no_answer(status):
    assert judge_head(status, ()) is HeadKind.MALFORMED


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_the_answer_follows_an_interim_one(status):
    assert judge_head(status, ()) is HeadKind.INTERIM


@pytest.mark.parametrize("status", [200, 204, 299, 304, 404, 500, 599])
def test_all_other_statuses_begin_an_answer(status):
    headers = ((b"Transfer-Encoding", b" Chunked"), (b"X-Other", b"gzip"))
    assert judge_head(status, headers) is HeadKind.FINAL


@pytest.mark.parametrize(
    "codings", [("gzip",), ("gzip, chunked",), ("gzip", "chunked"), ("",), ("x",)]
)
def test_a_body_in_a_coding_whose_end_is_not_known_is_no_answer(codings):
    headers = tuple((b"transfer-encoding", coding.encode()) for coding in codings)
    assert judge_head(200, headers) is HeadKind.MALFORMED
