from robinspindle.core.sharing import Digest, Load, Placement
from robinspindle.peers import decode, encode


def test_a_datagram_comes_back_as_it_was_and_stays_small():
    loads = [Load(f"i-{number:010x}", 12, 14_000, 3) for number in range(6)]
    parts = [("5c1e07a2", 2520), ("91bd3f06", 3780), ("e4402b7d", 2890)]
    digest = Digest(
        "front-amman-a-1",
        1796223803.41,
        123_456,
        loads,
        [Placement("i-0000000001", parts, 2890)],
        {"huvo11a": 463_102.0},
        [("i-0000000002", "prefill")],
    )
    data = encode(digest)
    assert decode(data) == digest
    assert len(data) < 300
