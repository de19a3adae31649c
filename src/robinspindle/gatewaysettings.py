"""What a gateway is told at its start."""

import math
from dataclasses import dataclass

from robinspindle.core.decoding import HostPort
from robinspindle.core.policy import Policy
from robinspindle.core.zonecosts import ZoneTerms

BITS_PER_BYTE = 8

DEFAULT_DESCRIPTORS = 4096
"""Descriptors that a process may have open where its settings don't say."""


@dataclass(frozen=True)
class Pledges:
    """What the deployment's operator was promised, as far as a gateway needs it.

    Attributes:
        contact_s: A gateway is held to what the store and peers say from this time
            after a trouble of its own or of its connections, seconds.
        leave_s: A leaving target gets no new work later than this, seconds.
        stop_s: Time between a request to stop and the kill, seconds.
        configuration_s: A configuration is in force within this, seconds.
        repeat_ratio: Repeats allowed for each request, over all gateways.
        repeat_slack: Repeats allowed besides in each window, over all gateways.
        repeat_window_s: Length of that window, seconds.
        lease_s: How long the right to give orders to engines lasts, seconds.
        engines_check_fences: Whether engines refuse an old fencing number.
        revoke_s: A key that was taken away stops working everywhere within this,
            seconds, also at gateways that are cut off; None where that is not promised.
    """

    contact_s: float = 3.0
    leave_s: float = 2.0
    stop_s: float = 8.0
    configuration_s: float = 2.0
    repeat_ratio: float = 0.2
    repeat_slack: float = 0.0
    repeat_window_s: float = 10.0
    lease_s: float = 3.0
    engines_check_fences: bool = False
    revoke_s: float | None = None


@dataclass(frozen=True)
class DutySettings:
    """What the deployment's one holder of duties does for it, by calls to the platform.

    Attributes:
        address: Where the platform takes these calls.
        window_s: Length of the windows for which usage is reported, seconds.
        late_s: How long after its end the report of a window is due, seconds.
    """

    address: HostPort
    window_s: float
    late_s: float


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway.

    Attributes:
        name: The gateway's name, unique in the deployment.
        zone: Its availability zone.
        ip: Its IP number.
        callers: Address for callers.
        readiness: Address at which the balancer asks whether it may send callers.
        store: Address of the platform's store.
        inner_ports: First and last port for what gateways say to each other.
        memory_mb: Memory at which the process is killed, MB.
        max_descriptors: Descriptors that the process may have open.
        pledges: What was promised.
        metrics_port: Port for metrics, 0 for none.
        capacity: The processor's speed against one full core.
        link_mbps: Rate of the VM's own network link, Mbit/s; 0 where it is not known.
        is_quiet: Whether lines about success are left out of the logs.
        policy: Which decisions about engines are in force.
        duties: The reports of usage; None where none are asked for.
        zone_terms: The operator's terms for traffic between availability zones.
    """

    name: str
    zone: str
    ip: str
    callers: HostPort
    readiness: HostPort
    store: HostPort
    inner_ports: tuple[int, int]
    memory_mb: float
    pledges: Pledges = Pledges()
    metrics_port: int = 0
    max_descriptors: int = DEFAULT_DESCRIPTORS
    capacity: float = 1.0
    link_mbps: float = 0.0
    is_quiet: bool = False
    policy: Policy = Policy()
    duties: DutySettings | None = None
    zone_terms: ZoneTerms = ZoneTerms()

    @property
    def link_bytes_per_s(self) -> float:
        """Rate of the VM's own link, bytes per second; infinite where not known."""
        return self.link_mbps * 1e6 / BITS_PER_BYTE if self.link_mbps else math.inf
