import json

import pytest

from robinspindle.core.forwarding import CacheSource, Resumption, Send
from robinspindle.core.targets import Announcement
from robinspindle.exceptions import BadDocumentError
from robinspindle.platform import dialect

HEADERS = (
    (b"Host", b"a.example"),
    (b"X-Request-Id", b"r1"),
    (b"X-Model", b"m"),
    (b"X-Token-Count", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c:800,91:410,e4:250"),
    (b"X-Length-Hint", b"60"),
    (b"Last-Event-Id", b"12"),
    (b"X-Kv-Source", b"stolen"),
    (b"Kv-Fetch", b"stolen"),
)


def decode(headers=HEADERS):
    return dialect.decode_request("POST", b"/a/b?c", headers, 5.0)


def encode(**more):
    sending = Send("i1", 1.5, 4, **more)
    request = dialect.add_body(decode(), b"body")
    # As it is sent: the body follows the head.
    return (dialect.encode_request(request, sending) + request.body).decode()


def test_a_prompt_is_decoded():
    prompt = decode().prompt
    assert [(p.id, p.tokens) for p in prompt.parts] == [
        ("5c", 800),
        ("91", 410),
        ("e4", 250),
    ]
    assert (prompt.tokens, prompt.max_answer_tokens, prompt.expected_answer_tokens) == (
        1460,
        80,
        60,
    )


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Token-Count", b"x"),
        (b"X-Token-Count", b"1,2,3"),
        (b"X-Prompt-Prefix", b"a:b"),
        (b"X-Length-Hint", b"soon"),
    ],
)
def test_an_invalid_prompt_is_none_and_its_headers_are_forwarded(name, value):
    headers = (*(pair for pair in HEADERS if pair[0] != name), (name, value))
    request = decode(headers)
    assert request.prompt is None
    assert (name, value) in request.headers


def test_a_callers_values_of_system_headers_are_dropped():
    text = encode()
    assert "stolen" not in text
    assert "Last-Event-Id: 12\r\n" in text
    assert "X-Expect-Instance: i1\r\n" in text
    assert text.endswith("Content-Length: 4\r\n\r\nbody")


def test_a_stream_resumes_after_the_given_event():
    text = encode(resume_after="30")
    assert text.count("Last-Event-Id") == 1
    assert "Last-Event-Id: 30\r\n" in text


@pytest.mark.parametrize(
    ("pairs", "expected"),
    [
        ([], None),
        ([(b"last-event-id", b"")], None),
        ([(b"Last-Event-Id", b"3")], Resumption()),
        ([(b"Last-Event-Id", b"3"), (b"Resumes", b" r1 ")], Resumption("r1")),
        ([(b"Resumes", b"r1")], Resumption("r1")),
        ([(b"Last-Event-Id", b"3"), *[(b"Resumes", b"r1")] * 2], Resumption("r1")),
        ([(b"Resumes", b"r1"), (b"resumes", b"r2")], Resumption()),
        ([(b"Resumes", b"r1"), (b"Resumes", b"")], Resumption()),
        (
            [(b"Resumes", b"r1"), *[(b"Last-Event-Id", b) for b in (b"3", b"4")]],
            Resumption(is_event_clear=False),
        ),
        (
            [(b"Resumes", b"r1"), *[(b"Last-Event-Id", b) for b in (b"", b"4")]],
            Resumption(is_event_clear=False),
        ),
        (
            [(b"Resumes", b"r1"), (b"Last-Event-Id", b"\xff")],
            Resumption(is_event_clear=False),
        ),
        ([(b"Resumes", b"r" * 5000)], Resumption()),
        ([(b"Resumes", b"a\tb")], Resumption()),
    ],
)
def test_which_stream_a_caller_takes_up_is_decoded_if_it_is_clear(pairs, expected):
    headers = (*(pair for pair in HEADERS if pair[0] != b"Last-Event-Id"), *pairs)
    assert decode(headers).resumption == expected


def test_prefill_only_and_cache_transfer_headers():
    assert "X-Stage: prefill\r\n" in encode(prefill_only=True)
    assert "X-Kv-Source: 1.2.3.4:5/h1\r\n" in encode(
        source=CacheSource("1.2.3.4:5", "h1")
    )
    assert "Kv-Fetch: 1.2.3.4:6\r\n" in encode(cached_parts_address="1.2.3.4:6")
    assert "Kv-Fetch" not in encode()
    assert dialect.decode_prefill_answer(
        "1.2.3.4:5", b'{"KvHandle":"h1"}'
    ) == CacheSource("1.2.3.4:5", "h1")
    with pytest.raises(BadDocumentError):
        dialect.decode_prefill_answer("1.2.3.4:5", b"{}")


def test_the_engine_that_keeps_a_copy_is_named():
    assert "X-Kv-Backup: 1.2.3.4:6\r\n" in encode(copy_address="1.2.3.4:6")
    assert "X-Kv-Backup" not in encode()


def test_a_step_of_a_move_is_written_and_its_answer_read():
    source = Announcement("i1", "lm", "1.2.3.4:5", "a", 8)
    call = dialect.encode_move(source, "r1", "1.2.3.4:6", is_last=True).decode()
    head, _, body = call.partition("\r\n\r\n")
    assert head.startswith("POST /kv-move HTTP/1.1\r\nHost: 1.2.3.4:5\r\n")
    assert "X-Expect-Instance: i1\r\n" in head
    assert json.loads(body) == {
        "Id": "r1",
        "TargetVersion": "1.2.3.4:6",
        "Last": True,
    }
    assert dialect.decode_move_answer(b'{"KvHandle":"h1","Created":3}') == "h1"
    assert dialect.decode_move_answer(b"") == ""
    with pytest.raises(BadDocumentError):
        dialect.decode_move_answer(b"no document")


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, ((b"X-Not-Executed", b"1"),), True),
        (503, (), False),
        (429, (), False),
        (421, (), True),
        (200, (), False),
    ],
)
def test_only_the_target_declares_a_request_not_run(status, headers, not_run):
    assert dialect.decode_answer(status, b"", headers).not_run is not_run


def test_an_encoded_body_is_not_sealed():
    sealed = ((b"X-Response-Seal", b"s"),)
    assert dialect.decode_answer(200, b"", sealed).sealed
    encoded = (*sealed, (b"Content-Encoding", b"gzip"))
    assert not dialect.decode_answer(200, b"", encoded).sealed


def test_the_idle_timeout_of_a_connection_is_decoded():
    headers = ((b"Keep-Alive", b"max=5, timeout=7"),)
    assert dialect.decode_answer(200, b"", headers).idle_s == 7.0
    assert dialect.decode_answer(200, b"", ()).idle_s is None


@pytest.mark.parametrize(
    ("value", "rate"),
    [(b"11.6", 11.6), (b"0", 0.0), (b"-1", None), (b"nan", None), (b"x", None)],
)
def test_rate_limit_of_a_target_is_decoded(value, rate):
    headers = ((b"Server-Limit", value), (b"X-Response-Seal", b"s"))
    assert dialect.decode_answer(200, b"OK", headers).limit_per_s == rate


@pytest.mark.parametrize("status", [200, 404, 421, 429, 500, 503])
def test_an_answer_of_any_status_says_that_its_target_leaves(status):
    headers = ((b"Server-Leaving", b"1"),)
    assert dialect.decode_answer(status, b"", headers).leaving
    assert not dialect.decode_answer(status, b"", ()).leaving
    assert not dialect.decode_answer(status, b"", ((b"Server-Leaving", b"0"),)).leaving


def test_only_a_target_that_is_not_the_expected_one_is_misdirected():
    assert dialect.decode_answer(421, b"", ()).is_misdirected
    assert not dialect.decode_answer(503, b"", ()).is_misdirected


@pytest.mark.parametrize(
    ("values", "rest_s"),
    [
        ((b"3",), 3.0),
        ((b" 0.2 ",), 0.2),
        ((b"0",), 0.0),
        ((b"10000",), 10000.0),
        ((b"-1",), 0.0),
        ((b"inf",), 0.0),
        ((b"nan",), 0.0),
        ((b"soon",), 0.0),
        ((b"",), 0.0),
        ((b"Fri, 04 Dec 2026 08:29:05 GMT",), 0.0),
        ((b"2", b"7"), 7.0),
        ((b"7", b"2"), 7.0),
        ((b"7, 2",), 7.0),
        ((b"soon", b"2"), 2.0),
        ((), 0.0),
    ],
)
def test_the_rest_that_a_target_asks_for_is_decoded(values, rest_s):
    headers = tuple((b"Retry-After", value) for value in values)
    assert dialect.decode_answer(503, b"", headers).rest_s == rest_s
    declined = (*headers, (b"X-Not-Executed", b"1"))
    assert dialect.decode_answer(503, b"", declined).rest_s == rest_s


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_target_that_turns_a_request_away_asks_for_rest(status):
    headers = ((b"Retry-After", b"3"),)
    assert dialect.decode_answer(status, b"", headers).rest_s == 0.0


def test_a_guess_of_infinite_length_is_malformed_like_any_other():
    """Guards against requests that end in the gateway's own failure."""
    headers = (
        (b"X-Model", b"m"),
        (b"X-Token-Count", b"100,20"),
        (b"X-Length-Hint", b"inf"),
    )
    assert dialect.decode_request("POST", b"/x", headers, 0.0).prompt is None


@pytest.mark.parametrize("tokens", [b"-1", b"100000001", b"1" + b"0" * 30])
def test_parts_that_peers_would_not_believe_are_malformed(tokens):
    """Guards against callers whose prompts make peers refuse a gateway's digests."""
    headers = (
        (b"X-Model", b"m"),
        (b"X-Token-Count", b"100,20"),
        (b"X-Prompt-Prefix", b"aa:" + tokens),
    )
    assert dialect.decode_request("POST", b"/x", headers, 0.0).prompt is None
