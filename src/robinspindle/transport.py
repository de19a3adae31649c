"""ZeroMQ sockets between entries and agents, with CURVE where a key is given."""

from dataclasses import dataclass

import zmq
from zmq.auth.thread import ThreadAuthenticator
from zmq.utils.monitor import recv_monitor_message

from robinspindle.keys import FleetKey
from robinspindle.mailbox import Mailbox
from robinspindle.messages import AnyMessage, decode_message, encode_message

HIGH_WATER = 20_000
"""Messages that may wait in a socket, each way; what is sent beyond is dropped."""

RECONNECT_MS = 50
MOST_RECONNECT_MS = 1000
"""First and longest pause before a lost connection is tried again, milliseconds."""

HEARTBEAT_MS = 1000
"""Interval of heartbeats, milliseconds."""

LOST_HEARTBEATS = 3
"""Intervals without an answer after which a connection counts as lost."""

LINGER_MS = 1000
"""How long a closed socket may still send what it was given, milliseconds."""

MOST_IN_A_TURN = 500
"""Messages taken from one socket at a time."""


class _Credentials:
    """Accepts the one key that a deployment's processes share."""

    def __init__(self, key: FleetKey):
        self._public = key.public

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell the authenticator whether a client's public key (Z85) is known."""
        return key == self._public


class Listener:
    """An agent's socket: many entries speak to it.

    Binding its one port is what makes an agent the only one beside its target.
    """

    def __init__(self, context: zmq.Context, address: str, key: FleetKey | None):
        self._authenticator = None
        self.socket = context.socket(zmq.ROUTER)
        _set_options(self.socket)
        self.socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        if key is not None:
            self._authenticator = ThreadAuthenticator(context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback(
                credentials_provider=_Credentials(key)
            )
            self.socket.curve_server = True
            self.socket.curve_secretkey = key.secret
            self.socket.curve_publickey = key.public
        self.socket.bind(f"tcp://{address}")

    def send(self, peer: str, message: AnyMessage) -> None:
        """Send to one entry; a message to one that is gone is dropped."""
        parts = [peer.encode(), encode_message(message)]
        try:
            self.socket.send_multipart(parts, zmq.NOBLOCK)
        except zmq.ZMQError:
            return

    def receive_all(self) -> list[tuple[str, AnyMessage]]:
        """Return the messages that are waiting, with their senders."""
        received = []
        while len(received) < MOST_IN_A_TURN:
            try:
                parts = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                break
            message = decode_message(parts[-1])
            if message is not None:
                received.append((parts[0].decode(errors="replace"), message))
        return received

    def close(self) -> None:
        """Close the socket after what was sent has left."""
        self.socket.close(linger=LINGER_MS)
        if self._authenticator is not None:
            self._authenticator.stop()


@dataclass
class _Link:
    """An entry's socket to one agent.

    Attributes:
        address: Where the agent listens.
        socket: The socket.
        monitor: Tells when a connection stands and when it is lost.
        is_up: Whether a connection stands.
    """

    address: str
    socket: zmq.Socket
    monitor: zmq.Socket
    is_up: bool = False

    def refresh(self) -> None:
        """Take in what happened to the connection."""
        while self.monitor.poll(0):
            event = recv_monitor_message(self.monitor)["event"]
            self.is_up = event == zmq.EVENT_HANDSHAKE_SUCCEEDED

    def close(self, linger_ms: int) -> None:
        """Close the socket, and its monitor before it.

        Args:
            linger_ms: How long it may still send what it was given, milliseconds.
        """
        self.socket.disable_monitor()
        self.socket.close(linger=linger_ms)


class Connections:
    """An entry's sockets, one to each agent."""

    def __init__(self, context: zmq.Context, identity: str, key: FleetKey | None):
        self._context = context
        self._identity = identity.encode()
        self._key = key
        self._links: dict[str, _Link] = {}
        self._left: list[tuple[str, AnyMessage]] = []

    def update(self, addresses: dict[str, str], poller: zmq.Poller) -> None:
        """Connect to the agents at these addresses and to no others."""
        stale = [
            name
            for name, link in self._links.items()
            if addresses.get(name) != link.address
        ]
        for name in stale:
            link = self._links.pop(name)
            # Closing drops what has come and was not read: often an answer's end.
            self._left += _receive(name, link, HIGH_WATER)
            poller.unregister(link.socket)
            link.close(linger_ms=0)
        for name, address in addresses.items():
            if name in self._links:
                continue
            link = self._connect(address)
            if link is not None:
                self._links[name] = link
                poller.register(link.socket, zmq.POLLIN)

    def send(self, peer: str, message: AnyMessage) -> None:
        """Send to one agent; a message to one that is away is dropped.

        What would wait for an agent that is away is worthless when it returns.
        """
        link = self._links.get(peer)
        if link is None:
            return
        link.refresh()
        if not link.is_up:
            return
        try:
            link.socket.send(encode_message(message), zmq.NOBLOCK)
        except zmq.ZMQError:
            return

    def receive_all(self) -> list[tuple[str, AnyMessage]]:
        """Return the messages that are waiting, with their senders."""
        received, self._left = self._left, []
        for name, link in self._links.items():
            received += _receive(name, link, MOST_IN_A_TURN)
        return received

    def close(self) -> None:
        """Close all sockets after what was sent has left."""
        for link in self._links.values():
            link.close(LINGER_MS)

    def _connect(self, address: str) -> _Link | None:
        """Connect to an agent, or return None for an address that can't be used."""
        # Not zmq.IMMEDIATE, which also keeps messages from agents that are away: when
        # a connection ends, it drops what came over it and was not read yet.
        socket = self._context.socket(zmq.DEALER)
        _set_options(socket)
        socket.setsockopt(zmq.IDENTITY, self._identity)
        if self._key is not None:
            socket.curve_secretkey = self._key.secret
            socket.curve_publickey = self._key.public
            socket.curve_serverkey = self._key.public
        monitor = socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        )
        link = _Link(address, socket, monitor)
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            link.close(linger_ms=0)
            return None
        return link


def _receive(name: str, link: _Link, most: int) -> list[tuple[str, AnyMessage]]:
    """Take up to so many messages that came over a link."""
    received = []
    for _ in range(most):
        try:
            data = link.socket.recv(zmq.NOBLOCK)
        except zmq.ZMQError:
            break
        message = decode_message(data)
        if message is not None:
            received.append((name, message))
    return received


def _set_options(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MOST_RECONNECT_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, LOST_HEARTBEATS * HEARTBEAT_MS)
    socket.setsockopt(zmq.LINGER, 0)


def wait_for_any(
    poller: zmq.Poller, mailbox: Mailbox, timeout_s: float
) -> list[object]:
    """Wait until a socket or the mailbox has something; return the mailbox's items."""
    poller.poll(timeout_s * 1000)
    return mailbox.take_all()
