"""Gateways that tell each other who began which stream, in virtual time."""

import asyncio
import random

from fuzz.virtualtime import VirtualSelector, run_virtually
from robinspindle.core.peerdigests import PeerView
from robinspindle.core.relays import GROUP_MEMBERS, Member
from robinspindle.core.streamorigins import StreamOrigin, make_stream_key
from robinspindle.exceptions import LogUnavailableError, RecordsTrimmedError
from robinspindle.originlink import PORT_OFFSET, OriginLink
from robinspindle.originlog import OriginLog
from robinspindle.peers import Peers, note_member
from robinspindle.storerecords import Records
from robinspindle.streammemory import StreamMemory

TRANSIT_S = 0.002


def make_origin(number, version="v1"):
    """Make an origin with names as long as those of the platform."""
    return StreamOrigin("huvo11a", version, f"i-7f3a{number:04x}", 1796223803410)


def name_stream(number):
    return make_stream_key("", f"{number:016x}")


class Node:
    """One gateway; a cut one neither sends nor receives."""

    def __init__(self, fleet, number):
        name = f"front-amman-a-{number}"
        self.member = Member(name, f"10.0.{number // 256}.{number % 256}", 7660)
        self.address = (self.member.host, self.member.port + PORT_OFFSET)
        self.logged = []
        self.sizes = []
        self.is_cut = False
        self._fleet = fleet
        self.peers = Peers(self.member, 1.0)
        self.link = OriginLink(self.peers, self._log)
        self.link.connection_made(self)
        self.kept = OriginLog(fleet.store, "origins", fleet.count_writers, self._log)
        self.memory = StreamMemory(
            self.peers, self.link, self.kept, lambda: fleet.selector.now, self._log
        )

    def _log(self, text, **fields):
        self.logged.append(text)

    def introduce(self, nodes):
        """Have it know and hear others."""
        *others, last = (node.member for node in nodes if node is not self)
        self.peers.members = {member.name: member for member in others}
        note_member(self.peers, last)
        self.hear(nodes)

    def hear(self, nodes):
        names = [node.member.name for node in nodes]
        self.peers.views = {names[0]: PeerView(members=names)}

    def sendto(self, data, address):
        if not self.is_cut:
            self.sizes.append(len(data))
            self._fleet.carry(self, data, address)

    def receive(self, data, sender):
        if not self.is_cut:
            self.link.datagram_received(data, sender)


class MemoryStore:
    """A store of records in memory.

    Attributes:
        records: All records.
        first: The first record that it still holds.
        is_away: Whether its calls fail.
        reads: Reads so far.
        per_read: Records that one read brings at most.
    """

    def __init__(self, per_read=100):
        self.records = []
        self.first = 0
        self.is_away = False
        self.reads = 0
        self.per_read = per_read

    async def append(self, topic, record):
        await asyncio.sleep(0)
        if self.is_away:
            raise LogUnavailableError("away")
        self.records.append(record)
        return len(self.records) - 1

    async def read_records(self, topic, offset):
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_away:
            raise LogUnavailableError("away")
        if offset < self.first:
            raise RecordsTrimmedError(self.first)
        values = tuple(self.records[offset : offset + self.per_read])
        return Records(values, offset + len(values), len(self.records))


class OriginFleet:
    """Gateways that all know and hear one another; some datagrams are lost."""

    def __init__(self, count, lost_share=0.0, store=None):
        self.selector = VirtualSelector()
        self.lost_share = lost_share
        self.rng = random.Random(1)
        self.store = store or MemoryStore()
        self.nodes = [Node(self, number) for number in range(count)]
        self._by_address = {node.address: node for node in self.nodes}
        for node in self.nodes if count > 1 else []:
            node.introduce(self.nodes)

    def count_writers(self):
        return max(1, len(self.nodes) // GROUP_MEMBERS)

    def carry(self, sender, data, address):
        if self.rng.random() >= self.lost_share:
            receive = self._by_address[address].receive
            loop = asyncio.get_running_loop()
            loop.call_later(TRANSIT_S, receive, data, sender.address)

    def play(self, coroutine):
        return run_virtually(coroutine, self.selector)
