"""Answers with neither a length nor chunks, which end with their connections."""

import pytest

from tests.platform.deployment import deploy, run

EVENTS = b"".join(b"id: %d\ndata: r1-%d\n\n" % (n, n) for n in (1, 2, 3))


@pytest.mark.parametrize("path", ["/chat/x", "/digest/x"])
def test_stream_that_ends_with_its_connection_is_whole(path, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            engine = await d.add("d1", "lm", "decode")
            engine.behaviours.append("unframed")
            reply = await d.call(path, **d.prompt())
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.body == EVENTS
            assert len(engine.arrivals) == 1

    run(scenario())


@pytest.mark.parametrize("behaviour", ["torn_unframed", "reset_unframed"])
def test_broken_stream_without_a_length_is_resumed(behaviour, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            engines = [await d.add(name, "lm", "decode") for name in ("d1", "d2")]
            # Whichever of them gets the request first behaves so.
            engines[1].behaviours = engines[0].behaviours
            engines[0].behaviours.append(behaviour)
            reply = await d.call("/digest/x", **d.prompt())
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.body == EVENTS

    run(scenario())


@pytest.mark.parametrize("behaviour", ["torn_unframed", "reset_unframed"])
def test_caller_can_tell_that_a_stream_without_a_length_broke_off(behaviour, tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            engine = await d.add("d1", "lm", "decode")
            engine.behaviours.append(behaviour)
            reply = await d.call("/chat/x", **d.prompt())
            assert not reply.is_whole
            assert reply.body in (b"", EVENTS[: len(reply.body)])

    run(scenario())


def test_stream_that_ends_before_its_first_event_is_not_taken_as_whole(tmp_path):
    """An engine that crashes as it begins to answer closes such a stream cleanly."""

    async def scenario():
        async with deploy(tmp_path) as d:
            engines = [await d.add(name, "lm", "decode") for name in ("d1", "d2")]
            engines[0].behaviours.append("empty_unframed")
            engines[1].behaviours.append("empty_unframed")
            reply = await d.call("/chat/x", **d.prompt())
            assert reply.status == 502

    run(scenario())
