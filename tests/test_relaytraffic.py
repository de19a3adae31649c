"""How much of a relay's link the news that it passes on take."""

from robinspindle.core.peerdigests import Placement, TargetLoad
from tests.test_peerlink import Network

GATEWAYS = 29
ZONES = 3
ENGINES = 27
PLACEMENTS_PER_S = 250
STEP_S = 0.005
SECONDS = 3.0
SLOW_LINK_BYTES_PER_S = 1_250_000.0
NEWS_SHARE = 0.25
"""Most of a link that news may take: the rest is for requests."""


class MeasuredNetwork(Network):
    """A network that counts the bytes that each host sends."""

    def __init__(self):
        super().__init__(GATEWAYS, ZONES)
        self.sent = dict.fromkeys(self.gateways, 0)
        for gateway in self.gateways.values():
            gateway.peers.link_bytes_per_s = SLOW_LINK_BYTES_PER_S

    def carry(self, sender, receiver, data):
        if hasattr(self, "sent"):
            self.sent[sender] += len(data)
        super().carry(sender, receiver, data)

    def play(self, seconds):
        """Have gateways that are due tell of full engines and of new prompts."""
        end, placed = self.now + seconds, 0.0
        loads = [
            TargetLoad(
                f"i-{n:010x}", 12, [0, 14, 120, 0, 0, 0, 0, 0, 0, 30], 3, 40, 5, 90_000
            )
            for n in range(ENGINES)
        ]
        parts = [("5c1e07a2", 2520), ("91bd3f06", 3780), ("e4402b7d", 2890)]
        untold = {host: [] for host in self.gateways}
        while self.now < end:
            placed += PLACEMENTS_PER_S * STEP_S
            while placed >= 1:
                placed -= 1
                host = list(untold)[int(self.now / STEP_S) % GATEWAYS]
                untold[host].append(Placement("i-0000000001", parts, 29, 2))
            for host, gateway in self.gateways.items():
                peers = gateway.peers
                if self.now >= peers.sent_at + peers.interval_s:
                    gateway.tell(loads=loads, placements=untold.pop(host))
                    untold[host] = []
            self.now += STEP_S


def test_news_that_a_relay_passes_on_leave_most_of_a_slow_link_to_requests():
    network = MeasuredNetwork()
    network.play(2.0)
    network.sent = dict.fromkeys(network.sent, 0)
    network.play(SECONDS)
    relays = {network[0].name, network[1].name, network[2].name}
    assert {g.peers.choice.relay for g in network.gateways.values()} == relays
    share = max(network.sent.values()) / SECONDS / SLOW_LINK_BYTES_PER_S
    assert share <= NEWS_SHARE
