"""Requests through a gateway to targets that misbehave."""

import asyncio

import pytest

from standins.rawhttp import LOOPBACK
from tests.platform.deployment import (
    HOST,
    deploy,
    make_configuration,
    make_route,
    read_reply,
    run,
    until,
    write_request,
)

SEAL = "x-response-seal"


def test_a_request_reaches_a_target_unchanged_and_its_answer_returns(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            reply = await d.call(
                "/once/x?y=%20z", **{"X-Deadline-Ms": "800", "X-Own": "kept"}
            )
            assert (reply.status, reply.body) == (200, b"body of r1")
            assert reply.headers[SEAL] == "seal-i1"
            (arrival,) = replica.arrivals
            assert arrival.target == "/once/x?y=%20z"
            assert arrival.body == b"hello"
            assert arrival.headers["host"] == HOST
            assert arrival.headers["x-own"] == "kept"
            assert 0 < int(arrival.headers["x-deadline-ms"]) <= 800

    run(scenario())


def test_system_headers_from_callers_are_dropped(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            system_headers = {
                "Kv-Fetch": "1.2.3.4:5",
                "X-Kv-Source": "1.2.3.4:5/h",
                "X-Kv-Hold": "x",
                "X-Pin-Ms": "9",
                "X-Kv-Backup": "1.2.3.4:5",
                "X-Stage": "prefill",
                "X-Expect-Instance": "other",
                "X-Request-Priority": "0",
                "Connection": "x-secret",
                "X-Secret": "1",
            }
            reply = await d.call("/once/x", **system_headers)
            assert reply.status == 200
            (arrival,) = replica.arrivals
            assert arrival.headers["x-expect-instance"] == "i1"
            dropped = (
                "kv-fetch",
                "x-kv-source",
                "x-kv-hold",
                "x-pin-ms",
                "x-kv-backup",
            )
            for name in dropped:
                assert name not in arrival.headers
            assert "x-stage" not in arrival.headers
            assert "x-secret" not in arrival.headers

    run(scenario())


def test_requests_before_the_first_configuration_may_be_retried(tmp_path):
    async def scenario():
        async with deploy(tmp_path, configured=False) as d:
            assert await d.ask_ready() == 503
            reply = await d.call("/once/x")
            assert reply.status == 503
            assert "retry-after" in reply.headers
            await d.configure()
            await until(lambda: d.gateway.is_ready)
            assert await d.ask_ready() == 200
            assert (await d.call("/nowhere/x")).status == 404

    run(scenario())


@pytest.mark.parametrize("behaviour", ["garbage", "unsealed", "reset", "cut_unframed"])
@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
def test_an_invalid_answer_never_reaches_a_caller(tmp_path, path, behaviour):
    async def scenario():
        async with deploy(tmp_path) as d:
            replicas = [await d.add("i1"), await d.add("i2")]
            for replica in replicas:
                replica.behaviours.append(behaviour)
            reply = await d.call(path)
            runs = sum(len(replica.arrivals) for replica in replicas)
            # The request may have run, so the caller is not told that it did not, and
            # only an idempotent one is retried.
            assert reply.status == 502
            assert SEAL not in reply.headers
            assert runs == (1 if path == "/once/x" else 2)

    run(scenario())


def test_at_most_once_requests_that_a_full_target_rejected_are_retried(tmp_path):
    async def scenario():
        async with deploy(tmp_path, pledges=None) as d:
            first, second = await d.add("i1"), await d.add("i2")
            first.behaviours.append("full")
            second.behaviours.append("full")
            reply = await d.call("/once/x")
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0
            assert len(first.arrivals) + len(second.arrivals) == 2

    run(scenario())


def test_a_503_without_the_not_run_marker_becomes_a_502(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            replica.behaviours.append("unmarked")
            reply = await d.call("/once/x")
            assert reply.status == 502
            assert SEAL not in reply.headers

    run(scenario())


def test_an_error_of_a_target_is_forwarded_or_retried_if_allowed(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first, second = await d.add("i1"), await d.add("i2")
            for replica in (first, second):
                replica.behaviours.append("error")
            reply = await d.call("/once/x", id="once")
            assert (reply.status, reply.body) == (500, b"fault")
            assert len(first.arrivals) + len(second.arrivals) == 1
            assert (await d.call("/safe/x", id="safe")).status == 200

    run(scenario())


@pytest.mark.parametrize("behaviour", ["surplus", "twice", "interim", "unframed"])
def test_each_caller_gets_its_own_answer(tmp_path, behaviour):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            replica.behaviours.extend(["ok", behaviour, "ok", behaviour])
            for number in range(6):
                reply = await d.call("/once/x", id=f"r{number}")
                assert (reply.status, reply.body) == (200, b"body of r%d" % number)

    run(scenario())


def test_a_request_to_the_address_of_another_lifetime_does_not_run(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            replica.lifetime = "i9"
            reply = await d.call("/once/x")
            assert reply.status == 503
            assert d.gateway.directory.targets["i1"].replaced

    run(scenario())


def test_a_stream_arrives_whole_and_in_order(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("i1", "lm", "decode")
            reply = await d.call("/chat/x", **d.prompt())
            assert reply.is_whole
            assert [e.split(b"\n")[0] for e in reply.body.split(b"\n\n")[:-1]] == [
                b"id: 1",
                b"id: 2",
                b"id: 3",
            ]

    run(scenario())


def test_a_broken_resumable_stream_resumes_at_another_target(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first = await d.add("i1", "lm", "decode")
            second = await d.add("i2", "lm", "decode")
            for replica in (first, second):
                replica.behaviours.append("torn")
            # Only the stream of the first target breaks: the behaviour of the other
            # one is cleared.
            reply = None
            replicas = {"i1": first, "i2": second}
            task = asyncio.create_task(d.call("/digest/x", **d.prompt()))
            await until(lambda: first.arrivals or second.arrivals)
            other = replicas["i2"] if first.arrivals else replicas["i1"]
            other.behaviours.clear()
            reply = await task
            assert reply.is_whole
            ids = [e.split(b"\n")[0] for e in reply.body.split(b"\n\n")[:-1]]
            assert ids == [b"id: 1", b"id: 2", b"id: 3"]
            assert other.arrivals[0].headers["last-event-id"] == "1"

    run(scenario())


@pytest.mark.parametrize("path", ["/digest/x", "/safe/x"])
def test_repeatable_requests_are_sent_elsewhere_if_their_target_times_out(
    tmp_path, path
):
    async def scenario():
        async with deploy(tmp_path) as d:
            service, role = ("lm", "decode") if "digest" in path else ("push", "")
            silent = await d.add("t1", service, role)
            silent.behaviours.append("held")
            prompt = d.prompt("200") if role else {}
            reply = asyncio.create_task(d.call(path, **prompt))
            await until(lambda: silent.arrivals)
            await d.add("t2", service, role)
            assert (await reply).is_whole
            assert len(silent.arrivals) == 1
            target = d.gateway.directory.targets["t1"]
            assert target.liveness.silent_since is not None
            # The target is in backoff, so the next request goes to the other one.
            assert (await d.call(path, id="r2", **prompt)).is_whole
            assert len(silent.arrivals) == 1

    run(scenario())


def test_a_broken_stream_that_is_not_resumable_never_looks_complete(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            first = await d.add("i1", "lm", "decode")
            second = await d.add("i2", "lm", "decode")
            for replica in (first, second):
                replica.behaviours.append("torn")
            reply = await d.call("/chat/x", **d.prompt())
            assert not reply.is_whole
            assert reply.body == b"id: 1\ndata: r1-1\n\n"
            assert len(first.arrivals) + len(second.arrivals) == 1

    run(scenario())


def test_a_callers_disconnect_cancels_the_request_at_the_target(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            replica.behaviours.append("held")
            _, writer = await asyncio.open_connection(LOOPBACK, d.port)
            writer.write(write_request("POST", "/safe/x", "gone", b"hello", {}))
            await until(lambda: replica.arrivals)
            writer.close()
            await until(lambda: replica.closed == ["gone"])

    run(scenario())


def test_a_persistent_connection_serves_several_requests_and_chunked_bodies(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            for number in range(3):
                request = write_request("POST", "/once/x", f"r{number}", b"hello", {})
                for at in range(0, len(request), 7):
                    writer.write(request[at : at + 7])
                    await writer.drain()
                reply = await read_reply(reader)
                assert reply.body == b"body of r%d" % number
            head = write_request("GET", "/once/x", "chunked", b"", {})[:-2]
            writer.write(head.replace(b"GET", b"POST"))
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n")
            writer.write(b"0\r\n\r\n")
            assert (await read_reply(reader)).body == b"body of chunked"
            assert replica.arrivals[-1].body == b"hello"
            writer.close()

    run(scenario())


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"X-Folded: a\r\n Content-Length: 5\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"Transfer-Encoding: xchunked\r\n",
    ],
)
def test_request_smuggling_is_rejected(tmp_path, head):
    async def scenario():
        async with deploy(tmp_path) as d:
            replica = await d.add("i1")
            reader, writer = await asyncio.open_connection(LOOPBACK, d.port)
            hidden = write_request("POST", "/once/x", "hidden", b"", {})
            writer.write(b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\n" + head)
            writer.write(b"X-Request-Id: outer\r\n\r\n0\r\n\r\n" + hidden)
            await read_reply(reader)
            writer.close()
            ids = [arrival.headers["x-request-id"] for arrival in replica.arrivals]
            assert "hidden" not in ids

    run(scenario())


def test_a_request_on_two_routes_takes_the_longest_prefix(tmp_path):
    async def scenario():
        routes = [
            make_route("a", "idempotent", "push"),
            make_route("a/b", "idempotent", "other"),
        ]
        async with deploy(tmp_path, configured=False) as d:
            await d.configure(routes=routes)
            push, other = await d.add("i1"), await d.add("i2", "other")
            assert (await d.call("/a/b/c")).status == 200
            assert (await d.call("/a/bc")).status == 200
            assert [len(r.arrivals) for r in (push, other)] == [1, 1]

    run(scenario())


def test_older_and_invalid_configurations_are_ignored(
    tmp_path,
):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=5)
            await d.store.put("keyed.op", "config", make_configuration(version=3))
            await d.store.put("keyed.op", "config", b"{not json")
            await d.store.put("keyed.op", "config", make_configuration(version=7))
            await until(lambda: d.version != 5)
            assert d.version == 7

    run(scenario())


@pytest.mark.parametrize("behaviour", ["bad_request", "missing"])
def test_client_errors_of_a_target_are_forwarded_and_not_retried(tmp_path, behaviour):
    async def scenario():
        async with deploy(tmp_path) as d:
            replicas = [await d.add("i1"), await d.add("i2")]
            for replica in replicas:
                replica.behaviours.append(behaviour)
            reply = await d.call("/safe/x")
            assert reply.status == {"bad_request": 400, "missing": 404}[behaviour]
            assert sum(len(replica.arrivals) for replica in replicas) == 1

    run(scenario())
