"""Datagrams between gateways about who began which stream, on a socket of their own."""

import asyncio
import socket
from collections.abc import Callable
from typing import Annotated

import msgspec

from robinspindle.core.decoding import MAX_PORT, make_msgpack_decoder
from robinspindle.core.peervalidation import MAX_WALL_MS
from robinspindle.core.streamorigins import KEY_BYTES, StreamKey, StreamOrigin
from robinspindle.exceptions import BadDocumentError
from robinspindle.gatewaysettings import HostPort
from robinspindle.linkqueue import ignore_sent
from robinspindle.logs import Log
from robinspindle.peers import Peers
from robinspindle.senders import Senders
from robinspindle.zonetraffic import TrafficCause, ZoneTraffic

PORT_OFFSET = 1
"""By how much the port of this socket is above the one that gateways announce."""

MOST_TELLS = 24
"""Origins in one datagram: it mostly stays within one packet of 1,500 bytes."""

MAX_NAME_LENGTH = 256
"""Longest name of a service, a software version or a lifetime, characters."""

MAX_NUMBER = (1 << 32) - 1
"""Largest number of an ask."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Key = Annotated[bytes, msgspec.Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class Tell(msgspec.Struct, array_like=True, frozen=True):
    """Who began a stream; see `StreamOrigin`."""

    key: Key
    service: Name
    software_version: Name
    lifetime: Name
    opened_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_MS)]


class Tells(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Streams that have begun.

    Attributes:
        tells: Who began each.
    """

    tells: Annotated[list[Tell], msgspec.Meta(max_length=MOST_TELLS)]


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Asks who began a stream.

    Attributes:
        number: Returned in the answer.
        key: The stream's key.
    """

    number: Number
    key: Key


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Answers an ask.

    Attributes:
        number: The ask's number.
        told: Who began the stream; None if the sender doesn't know.
    """

    number: Number
    told: Tell | None = None


class Keeps(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Streams whose origins a relay writes to the store for its group.

    Attributes:
        tells: Who began each.
    """

    tells: Annotated[list[Tell], msgspec.Meta(max_length=MOST_TELLS)]


class Written(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Streams whose origins a relay has written for a gateway of its group.

    Attributes:
        keys: Their keys.
    """

    keys: Annotated[list[Key], msgspec.Meta(max_length=MOST_TELLS)]


Message = Tells | Ask | Answer | Keeps | Written

encode = msgspec.msgpack.Encoder().encode
decode = make_msgpack_decoder(Message)


def make_tell(key: StreamKey, origin: StreamOrigin) -> Tell:
    """Make the message part that tells an origin."""
    return Tell(
        key,
        origin.service,
        origin.software_version,
        origin.lifetime,
        origin.opened_ms,
    )


def read_tell(tell: Tell) -> StreamOrigin:
    """Read the origin that a message part tells."""
    return StreamOrigin(
        tell.service, tell.software_version, tell.lifetime, tell.opened_ms
    )


def pass_over_message(sender: str, message: Message) -> None:
    """Stand for who takes messages in."""


class OriginLink(asyncio.DatagramProtocol):
    """The socket.

    Attributes:
        take: Told the sender's name and each message that is valid.
    """

    def __init__(
        self,
        peers: Peers,
        log: Log,
        note_sent: Callable[[int], None] = ignore_sent,
        traffic: ZoneTraffic | None = None,
    ):
        self._traffic = traffic or ZoneTraffic(peers.own.zone)
        self.take: Callable[[str, Message], None] = pass_over_message
        self._peers = peers
        self._senders = Senders(peers, log)
        self._note_sent = note_sent
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: HostPort) -> None:
        """Open the socket.

        Args:
            address: The address that the gateway announces; the port is above it.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address.host, address.port + PORT_OFFSET),
            family=socket.AF_INET,
        )

    def close(self) -> None:
        """Close the socket; nothing is sent any more."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport) -> None:
        """Note the transport."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Pass over errors: a gateway that is gone doesn't answer."""

    def datagram_received(self, data: bytes, addr) -> None:
        """Take another gateway's datagram in."""
        sender = self._senders.find_name(addr, PORT_OFFSET)
        if sender is None:
            return
        try:
            self.take(sender, decode(data))
        except BadDocumentError as error:
            self._senders.refuse(sender, "datagram can't be read", error=str(error))
        except Exception as error:
            self._senders.refuse_failed(sender, error)

    def can_send(self, name: str) -> bool:
        """Whether another gateway can be sent messages."""
        member = self._peers.members.get(name)
        has_port = member is not None and member.port + PORT_OFFSET <= MAX_PORT
        return self._transport is not None and has_port

    def send(self, name: str, message: Message) -> None:
        """Send another gateway a message; one that is not known gets none."""
        if not self.can_send(name):
            return
        member = self._peers.members[name]
        data = encode(message)
        self._note_sent(len(data))
        self._traffic.note(TrafficCause.STREAM_ORIGINS, member.zone, len(data))
        self._transport.sendto(data, (member.host, member.port + PORT_OFFSET))
