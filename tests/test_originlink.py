import asyncio
import os

from robinspindle.core.decoding import MAX_PORT
from robinspindle.core.relays import Member
from robinspindle.core.streamorigins import KEY_BYTES, StreamKey
from robinspindle.gatewaysettings import HostPort
from robinspindle.originlink import PORT_OFFSET, Ask, OriginLink
from robinspindle.peers import Peers, note_member

HOST = os.environ.get("STANDIN_ADDRESS", "127.0.0.1")
ASK = Ask(1, StreamKey(bytes(KEY_BYTES)))


async def send_after_odd():
    """Send to a peer after one at an odd port; returns what the former gets."""
    loop = asyncio.get_running_loop()
    received = asyncio.Queue()

    class Taker(asyncio.DatagramProtocol):
        def datagram_received(self, data, addr):
            received.put_nowait(data)

    transport, _ = await loop.create_datagram_endpoint(Taker, local_addr=(HOST, 0))
    port = transport.get_extra_info("sockname")[1]
    peers = Peers(Member("g1", HOST, 7000), 0.0)
    note_member(peers, Member("odd", HOST, MAX_PORT))
    note_member(peers, Member("g2", HOST, port - PORT_OFFSET))
    link = OriginLink(peers, lambda *a, **k: None)
    await link.start(HostPort(HOST, -PORT_OFFSET))
    try:
        link.send("odd", ASK)
        await asyncio.sleep(0.1)
        link.send("g2", ASK)
        async with asyncio.timeout(5):
            return await received.get()
    finally:
        link.close()
        transport.close()


def test_a_peer_at_the_last_port_does_not_close_the_socket():
    assert asyncio.run(send_after_odd())
