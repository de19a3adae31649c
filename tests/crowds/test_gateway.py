"""No crowd of clients ends a gateway, or takes ordinary callers' answers away."""

import asyncio
from functools import partial

import pytest

from soak.clientshapes import (
    LEFT_OUT_BYTES,
    PIECE_BYTES,
    TRICKLE_BYTES,
    mix,
    say_nothing,
    send_ahead,
    send_body,
    send_chunks,
    send_gets,
    send_headers,
    send_shortest,
)
from standins.endless import BODIES, CHUNKED, Shape
from tests.crowds.gatewaycrowd import Bounds, Crowd, play

BODY = 1 << 20
"""Length of the longest bodies that the tests' settings allow, bytes."""

short_body = partial(send_body, length=BODY, left_out=LEFT_OUT_BYTES)
short_pieces = partial(short_body, piece=PIECE_BYTES)
trickled_body = partial(send_body, length=BODY, left_out=TRICKLE_BYTES)
whole_body = partial(send_body, length=BODY, left_out=0)
large_chunks = partial(send_chunks, length=BODY, chunk=PIECE_BYTES)

CROWDS = {
    "bodies-short-of-their-end": Crowd(150, short_body),
    "bodies-short-of-their-end-in-pieces": Crowd(150, short_pieces),
    "bodies-that-trickle": Crowd(150, trickled_body, trickles=True),
    "large-chunks-without-end": Crowd(150, large_chunks),
    "chunks-of-two-bytes-without-end": Crowd(
        40, partial(send_chunks, length=288_000, chunk=2)
    ),
    "chunks-of-seven-bytes-without-end": Crowd(
        80, partial(send_chunks, length=300_000, chunk=7)
    ),
    "whole-bodies": Crowd(150, whole_body),
    "whole-bodies-before-a-slow-replica": Crowd(150, whole_body, behaviour="held"),
    "empty-headers-without-end": Crowd(350, partial(send_headers, count=3200)),
    "bytes-ahead-of-a-slow-answer": Crowd(
        300, partial(send_ahead, length=380_000), behaviour="held"
    ),
    "bodies-at-the-port-of-readiness": Crowd(150, short_body, port="ready"),
    "bodies-at-the-port-of-metrics": Crowd(150, short_body, port="metrics"),
    "connections-that-say-nothing": Crowd(700, say_nothing),
    "long-answers-that-nobody-reads": Crowd(
        150, partial(send_body, length=1, left_out=0), behaviour="long", reads=False
    ),
    "unread-metrics": Crowd(
        100, partial(send_gets, path="/metrics", count=200), "metrics", reads=False
    ),
    "a-mix": Crowd(300, partial(mix, seed=1, body_bytes=BODY)),
    "another-mix-before-a-slow-replica": Crowd(
        300, partial(mix, seed=2, body_bytes=BODY), behaviour="held"
    ),
    "whole-bodies-that-come-again": Crowd(100, whole_body, times=4),
    "whole-bodies-whose-callers-leave": Crowd(
        100, whole_body, behaviour="held", times=4, is_answered=False
    ),
    "short-bodies-that-come-again": Crowd(100, short_body, times=4),
    "the-shortest-requests-in-a-row": Crowd(60, partial(send_shortest, count=14_000)),
}


FLOODS = {
    "unframed": BODIES["unframed"],
    "one-chunk": Shape(CHUNKED + b"fffffffffff\r\n", b"x"),
}
"""Bodies that come as fast as they are taken, and do not end."""


@pytest.mark.parametrize("name", FLOODS)
def test_floods_that_nobody_reads_end_no_gateway(name, tmp_path):
    # What was gathered of each answer stayed beside what was written of it.
    bounds = Bounds(memory_mb=160, descriptors=4100, connections=2000)
    shape = partial(send_body, length=1, left_out=0)
    flood = FLOODS[name]
    crowd = Crowd(150, shape, behaviour="endless", endless=flood, reads=False)
    asyncio.run(play(tmp_path, crowd, bounds))


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_ends_no_gateway(name, tmp_path):
    asyncio.run(play(tmp_path, CROWDS[name], Bounds()))


def test_bodies_short_of_their_end_end_no_gateway_of_usual_size(tmp_path):
    bounds = Bounds(memory_mb=300, descriptors=4100, body_bytes=4 << 20)
    shape = partial(short_body, length=bounds.body_bytes)
    asyncio.run(play(tmp_path, Crowd(150, shape), bounds))


def test_bodies_of_two_byte_chunks_end_no_gateway_of_usual_size(tmp_path):
    bounds = Bounds(memory_mb=300, descriptors=4100, body_bytes=4 << 20)
    shape = partial(send_chunks, length=288_000, chunk=2)
    asyncio.run(play(tmp_path, Crowd(150, shape), bounds))


def test_connections_that_say_nothing_leave_room_for_callers_at_usual_size(tmp_path):
    bounds = Bounds(memory_mb=300, descriptors=4100, body_bytes=4 << 20)
    asyncio.run(play(tmp_path, Crowd(4300, say_nothing), bounds))
