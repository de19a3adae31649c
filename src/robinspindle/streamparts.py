"""The parts of a gateway that know who began which stream, and at which versions."""

from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.adapters import Adapter, GatewayStore
from robinspindle.fleet import Fleet
from robinspindle.linkqueue import LinkQueue
from robinspindle.logs import Log
from robinspindle.originlink import OriginLink
from robinspindle.originlog import OriginLog
from robinspindle.peers import Peers, has_peer_without_store, list_heard
from robinspindle.streammemory import StreamMemory
from robinspindle.versionkeeping import VersionKeeper
from robinspindle.versionwriting import VersionWriter
from robinspindle.zonetraffic import ZoneTraffic


@dataclass(frozen=True)
class StreamParts:
    """The parts.

    Attributes:
        link: Datagrams between gateways about who began which stream.
        kept: Keeps that in the store while several versions may begin streams.
        memory: Remembers it, and asks others.
        versions: Knows at which versions streams may begin.
        writer: Writes that to the store.
    """

    link: OriginLink
    kept: OriginLog
    memory: StreamMemory
    versions: VersionKeeper
    writer: VersionWriter

    def note_era(self) -> None:
        """Begin anew with a store that returned from a copy."""
        self.kept.note_era()
        self.versions.note_era()

    def note_pause(self, now: float) -> None:
        """Take note that nothing was heard until now.

        Args:
            now: The present time, steady seconds.
        """
        self.writer.note_pause(now)


def make_stream_parts(
    adapter: Adapter,
    store: GatewayStore,
    peers: Peers,
    fleet: Fleet,
    uplink: LinkQueue,
    traffic: ZoneTraffic,
    clock: Callable[[], float],
    log: Log,
) -> StreamParts:
    """Make the parts.

    Args:
        adapter: Names the topics.
        store: The store.
        peers: The other gateways.
        fleet: The targets.
        uplink: The VM's own link, told of what is sent.
        traffic: Counts the bytes between availability zones.
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
    """

    def count_relays() -> int:
        return len(peers.groups.ranked)

    def count_writers() -> int:
        return count_relays() if peers.is_relay else len(peers.members) + 1

    def count_gateways() -> int:
        return len(list_heard(peers)) + 1

    topic = adapter.gateways_topic
    shared = (store, topic, fleet, count_gateways, clock, log)
    link = OriginLink(peers, log, uplink.note_sent, traffic)
    kept = OriginLog(store, adapter.origins_topic, count_relays, log, count_writers)
    memory = StreamMemory(peers, link, kept, clock, log)
    versions = VersionKeeper(*shared)
    versions.note_several = memory.note_several
    writer = VersionWriter(versions, *shared, lambda: has_peer_without_store(peers))
    return StreamParts(link, kept, memory, versions, writer)
