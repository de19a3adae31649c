"""Tells datagrams of gateways that the store names from those of strangers."""

from robinspindle.logs import Log, describe_failure
from robinspindle.peers import Peers

MOST_LOGGED = 100
"""Senders whose refused datagrams are logged, each of them once."""


class Senders:
    """The senders of datagrams that come to one socket."""

    def __init__(self, peers: Peers, log: Log):
        self._peers = peers
        self._log = log
        self._logged: set[str] = set()

    def is_at_own_address(self, sender: str, addr) -> bool:
        """Whether the sender is a gateway that the store names, at its own address."""
        member = self._peers.members.get(sender)
        if member is not None and addr is not None and member.host == addr[0]:
            return True
        self.refuse(sender, "datagram of a stranger", address=str(addr))
        return False

    def find_name(self, addr, port_offset: int) -> str | None:
        """Find which gateway that the store names has sent a datagram; None if none.

        Args:
            addr: IP address and port from which it came.
            port_offset: By how much that port is above the one that gateways announce.
        """
        name = self._peers.names.get((addr[0], addr[1] - port_offset))
        if name is None:
            self.refuse(str(addr), "datagram of a stranger")
        return name

    def refuse_failed(self, sender: str, error: Exception) -> None:
        """Refuse a datagram that was decoded and could not be taken in."""
        text = "datagram could not be taken in"
        self.refuse(sender, text, error=describe_failure(error))

    def refuse(self, sender: str, text: str, **fields: object) -> None:
        """Count a datagram that is not believed, and log each sender's first one."""
        self._peers.refused += 1
        if sender not in self._logged and len(self._logged) < MOST_LOGGED:
            self._logged.add(sender)
            self._log(text, sender=sender, **fields)
