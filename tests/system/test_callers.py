"""The callers' API through real processes."""

import http.client
import json
import signal
import socket
import time

import openai
import pytest

from tests.system.helpers import (
    MODEL,
    chat,
    count_calls,
    expect_answer,
    notify,
    run_together,
)


@pytest.fixture
def client(fleet):
    return openai.OpenAI(
        base_url=f"{fleet.callers[0]}/v1", api_key="demo-ticker-chat", max_retries=0
    )


def ask(client, prompt, tokens, **options):
    messages = [{"role": "user", "content": prompt}]
    return client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=tokens, **options
    )


def read(stream):
    return "".join(part.choices[0].delta.content or "" for part in stream)


def test_openai_client_whole_answer(client):
    answer = ask(client, "one", 9)
    assert answer.choices[0].message.content == expect_answer("one", 9)
    assert answer.usage.completion_tokens == 9


def test_openai_client_stream(client):
    assert read(ask(client, "two", 9, stream=True)) == expect_answer("two", 9)


def test_openai_client_text_completion(client):
    answer = client.completions.create(model=MODEL, prompt="three", max_tokens=4)
    assert len(answer.choices[0].text.split()) == 4


def test_openai_client_two_answers_interleaved(client):
    first = ask(client, "left", 12, stream=True)
    second = ask(client, "right", 12, stream=True)
    texts = ["", ""]
    for left, right in zip(first, second, strict=True):
        texts[0] += left.choices[0].delta.content or ""
        texts[1] += right.choices[0].delta.content or ""
    assert texts == [expect_answer("left", 12), expect_answer("right", 12)]


def test_openai_client_cancel_frees_the_engine(client, fleet):
    stream = ask(client, "cancelled", 2000, stream=True)
    next(iter(stream))
    stream.close()
    deadline = time.monotonic() + 15

    def running():
        views = fleet.client.get_from_all("status")
        return sum(t["running"] for view in views for t in view["targets"])

    while running() and time.monotonic() < deadline:
        time.sleep(0.2)
    assert running() == 0


def test_openai_client_errors(client, fleet):
    with pytest.raises(openai.NotFoundError, match="no model other"):
        client.completions.create(model="other", prompt="x")
    wrong = openai.OpenAI(
        base_url=f"{fleet.callers[0]}/v1", api_key="wrong", max_retries=0
    )
    with pytest.raises(openai.AuthenticationError):
        wrong.models.list()
    with pytest.raises(openai.BadRequestError, match="max_tokens"):
        client.completions.create(model=MODEL, prompt="x", max_tokens=10**9)
    assert [model.id for model in client.models.list()] == [MODEL]


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{not json", {}, 400, "invalid_body"),
        (b"[]", {}, 400, "invalid_body"),
        (b'{"model": "investor-70b", "messages": []}', {}, 400, "invalid_body"),
        (
            b'{"model": "investor-70b", "messages": 3, "max_tokens": -1}',
            {},
            400,
            "invalid_body",
        ),
        (b"x" * (9 << 20), {}, 413, "body_too_long"),
        (b"{}", {"Authorization": "Bearer nobody"}, 401, "invalid_api_key"),
        (b"{}", {"Last-Event-ID": "junk"}, 400, "invalid_body"),
    ],
)
def test_bad_input_gets_one_clear_error(fleet, body, headers, status, code):
    sent = {"Authorization": "Bearer demo-ticker-chat"} | headers
    answer = fleet.http.request(
        "POST", f"{fleet.callers[0]}/v1/chat/completions", body=body, headers=sent
    )
    error = answer.json()["error"]
    assert (answer.status, error["code"], error["ran"]) == (status, code, "no")
    assert chat(fleet, "after", 3).text == expect_answer("after", 3)


def test_slow_senders_hurt_nobody(fleet):
    host, port = fleet.callers[0].removeprefix("http://").split(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(20)]
    for sender in slow:
        sender.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n"
        )
    assert chat(fleet, "others", 4).text == expect_answer("others", 4)
    for sender in slow:
        sender.close()


def test_every_event_is_numbered_and_done_comes_last(fleet):
    reply = chat(fleet, "numbers", 8)
    numbers = [int(id.rsplit("/", 1)[1]) for id in reply.ids]
    assert numbers == list(range(8))
    assert reply.is_done


def test_a_stream_is_resumed_at_another_entry(fleet):
    begun = chat(fleet, "resumed", 60, stop_after=10)
    rest = chat(fleet, "resumed", 60, entry=1, Last_Event_ID=begun.ids[-1])
    assert begun.text + rest.text == expect_answer("resumed", 60)
    assert rest.is_done


def test_a_stream_that_is_gone_is_refused_at_once(fleet):
    reply = chat(fleet, "gone", 5, Last_Event_ID="entry-9-x-1/engine-1/3")
    assert (reply.status, reply.error["code"]) == (409, "stream_gone")


def test_a_workspace_over_its_limits_is_told_when_to_come_back(fleet):
    replies = run_together(*[lambda: chat(fleet, "x", 1, workspace="operators")] * 30)
    refused = [reply for reply in replies if reply.status == 429]
    assert refused
    assert all(reply.error["ran"] == "no" for reply in refused)
    assert all(int(reply.headers["retry-after"]) >= 1 for reply in refused)


def test_a_notification_sent_through_both_entries_at_once_runs_once(fleet):
    body = b"both at once"
    replies = run_together(
        lambda: notify(fleet, "both", 0, body), lambda: notify(fleet, "both", 1, body)
    )
    assert [reply.status for reply in replies] == [200, 200]
    assert replies[0].text == replies[1].text
    assert count_calls(fleet, body) == 1


def test_a_key_used_with_another_request_is_refused(fleet):
    assert notify(fleet, "reused", body=b"one").status == 200
    reply = notify(fleet, "reused", body=b"two")
    assert (reply.status, reply.error["code"]) == (422, "key_reused")
    assert count_calls(fleet, b"two") == 0


def test_services_pass_methods_and_paths_on(fleet):
    answer = fleet.http.request(
        "GET",
        f"{fleet.callers[1]}/services/notification/some/path",
        headers={"Authorization": "Bearer demo-quote-push"},
    )
    assert json.loads(answer.data)["path"] == "/some/path"


def test_health_readiness_and_metrics(fleet):
    for url in fleet.operators:
        assert fleet.http.request("GET", f"{url}/readyz").json() == {"ready": True}
    text = fleet.http.request("GET", f"{fleet.operators[0]}/metrics").data.decode()
    assert 'robinspindle_first_token_seconds{quantile="0.95",work="chat"}' in text


def test_no_log_line_holds_a_key(fleet):
    chat(fleet, "quiet", 2)
    secret = (fleet.folder / "fleet.key").read_text().split("secret = ")[1].strip()
    for path in fleet.folder.glob("*.log"):
        text = path.read_text()
        assert "demo-ticker-chat" not in text
        assert secret not in text


def half_close(fleet, path, body, workspace, on_head=lambda: None):
    """Send a request, close the sending half, and return the status and the body."""
    host, port = fleet.callers[0].removeprefix("http://").split(":")
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    lines += [f"Authorization: Bearer demo-{workspace}", "", ""]
    with socket.create_connection((host, int(port)), timeout=30) as caller:
        caller.sendall("\r\n".join(lines).encode() + body)
        caller.shutdown(socket.SHUT_WR)
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        on_head()
        return answer.status, answer.read().decode()


def make_text_body(prompt, **fields):
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 60} | fields
    return json.dumps(body).encode()


def test_a_stream_is_whole_for_a_caller_that_has_closed_its_sending_half(fleet):
    """An event that took longer than 0.2 s ended it, as if it were complete."""
    engines = [f"{n}.target" for n, t in fleet.configuration.targets.items() if t.model]

    def hold_up_engines():
        for name in engines:
            fleet.signal(name, signal.SIGSTOP)
        time.sleep(1.0)
        for name in engines:
            fleet.signal(name, signal.SIGCONT)

    body = make_text_body("half", stream=True)
    status, text = half_close(
        fleet, "/v1/completions", body, "ticker-chat", hold_up_engines
    )
    assert status == 200
    assert "data: [DONE]" in text


def test_a_call_is_answered_for_a_caller_that_has_closed_its_sending_half(fleet):
    """It ran, and its caller got 503."""
    names = [n for n, t in fleet.configuration.targets.items() if t.service]
    addresses = [fleet.configuration.targets[name].address for name in names]
    for address in addresses:
        fleet.set_faults(address, delay_s=1.0)
    path = "/services/notification/send"
    status, _ = half_close(fleet, path, b"half closed", "alert-push")
    for address in addresses:
        fleet.set_faults(address)
    assert count_calls(fleet, b"half closed") == 1
    assert status == 200


def test_a_refusal_is_whole_for_a_caller_that_has_closed_its_sending_half(fleet):
    """It got 503 with nothing in it, whether its request had run or not."""
    body = make_text_body("half whole" + " long" * 8000)
    _, text = half_close(fleet, "/v1/completions", body, "ticker-chat")
    error = json.loads(text)["error"]
    assert (error["code"], error["ran"]) == ("caller_left", "unknown")
