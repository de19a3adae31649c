"""The ports at which a gateway is called; they share one account of callers."""

from collections.abc import Callable
from dataclasses import dataclass

from robinspindle.callerconnections import Handle
from robinspindle.callerlimits import CallerLimits
from robinspindle.connectionlimit import ConnectionLimit
from robinspindle.core import calleraccount
from robinspindle.core.calleraccount import CallerAccount
from robinspindle.core.forwarding import Headers
from robinspindle.core.heldbytes import HeldBytes
from robinspindle.descriptors import find_descriptor_limit
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.housekeeping import Job
from robinspindle.httpserver import CallerServer
from robinspindle.logs import make_log
from robinspindle.requestparser import Limits

log = make_log("callers")


@dataclass(frozen=True)
class Handlers:
    """What answers at each port.

    Attributes:
        requests: Answers callers' requests.
        readiness: Answers the balancer.
        figures: Answers operators.
    """

    requests: Handle
    readiness: Handle
    figures: Handle


class CallerPorts:
    """The servers of a gateway's ports.

    Attributes:
        arrivals: Turns new connections of callers away while there are too many.
        limits: What callers at all ports make the process hold.
        requests: Serves callers.
        readiness: Tells the balancer whether it may send callers.
        figures: Tells operators metrics.
    """

    def __init__(
        self,
        handlers: Handlers,
        limits: Limits,
        answers: HeldBytes,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        note_sent: Callable[[int], None],
        find_request_id: Callable[[Headers], str],
    ):
        """Prepare to listen.

        Args:
            handlers: Answer what is asked.
            limits: What callers of requests may send.
            answers: What is held of answers.
            metrics: The gateway's metrics.
            clock: Tells the present time, monotonic seconds.
            note_sent: Told how many bytes were written to callers.
            find_request_id: Finds the id of a request in its headers.
        """
        self._find_request_id = find_request_id
        self.arrivals = ConnectionLimit(clock, log, metrics.connections_turned_away)
        account = CallerAccount(answers=answers)
        self.limits = CallerLimits(account, clock, metrics.count_relief)
        self.requests = CallerServer(
            handlers.requests,
            limits,
            clock,
            note_sent,
            self.arrivals.take_connection,
            callers=self.limits,
            note_refused=self._note_refused,
        )
        self.readiness = CallerServer(
            handlers.readiness, Limits(), clock, callers=self.limits
        )
        self.figures = CallerServer(
            handlers.figures, Limits(), clock, callers=self.limits
        )

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put the bounds in force that follow from a gateway's settings."""
        descriptors = min(settings.max_descriptors, find_descriptor_limit())
        calleraccount.set_bounds(self.limits.account, settings.memory_mb, descriptors)

    def close_listeners(self) -> None:
        """Take no new connections at any port."""
        for server in (self.requests, self.readiness, self.figures):
            server.close_listener()

    def list_jobs(self) -> list[Job]:
        """List the jobs of each tick, in their order."""
        return [
            Job("close callers", self.requests.close_idle),
            Job("close balancer", self.readiness.close_idle),
            Job("close operators", self.figures.close_idle),
            Job("tell who gave way", lambda now: self.limits.tell(log, now)),
        ]

    def _note_refused(self, headers: Headers) -> None:
        """Log a request that is dropped before it has come whole."""
        request = self._find_request_id(headers)
        log("refused", routine=True, request=request, reason="crowded-out")
