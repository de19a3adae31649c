"""Admits requests: finds their routes and permits, and what is known as they begin."""

import copy
import random
from dataclasses import dataclass, replace

from robinspindle.choosing import Chooser
from robinspindle.core import forwarding, permits
from robinspindle.core.fingerprints import FingerprintedRequest
from robinspindle.core.forwarding import Refusal, Request
from robinspindle.core.permits import Permit
from robinspindle.core.retrydetection import RetryDetector
from robinspindle.core.routes import (
    Route,
    RouteTable,
    choose_service,
    find_rank,
    find_route,
)
from robinspindle.core.streamversions import StreamBinding, find_obstacle
from robinspindle.passages import Means, Passage
from robinspindle.replies import Reply

CALLER_WAY_S = 0.008
"""Part of an aim that the way to the caller and back takes, seconds."""


@dataclass(frozen=True)
class Admitted:
    """A request that may run.

    Attributes:
        request: The request, without its key.
        table: The configuration by which it may run.
        route: Its route.
        permit: By whose key it may run.
    """

    request: Request
    table: RouteTable
    route: Route
    permit: Permit


class Admission:
    """Finds out what is known of requests before their targets are chosen.

    Attributes:
        means: What the relay has.
        chooser: Chooses where they go.
    """

    def __init__(self, means: Means, chooser: Chooser, rng: random.Random):
        self.means = means
        self.chooser = chooser
        self._rng = rng
        self._patience = RetryDetector()

    def fork(self) -> "Admission":
        """Make a copy that decides as this one would next, and changes nothing here."""
        # The fork draws what the next request would draw.
        rng = copy.copy(self._rng)
        means = replace(self.means, lengths=copy.deepcopy(self.means.lengths))
        forked = Admission(means, self.chooser.fork(means, rng), rng)
        forked._patience = copy.deepcopy(self._patience)
        return forked

    def admit(self, request: Request) -> Admitted | Refusal:
        """Find a request's route and by whose key it may run, or why it may not."""
        means = self.means
        table = means.fleet.table
        if table is None:
            return forwarding.NO_CONFIGURATION
        route = find_route(table, request.host, request.path)
        if route is None:
            is_behind = means.freshness.is_newest_unreadable
            return forwarding.NOT_FRESH if is_behind else forwarding.NO_ROUTE
        permit = permits.authorize(
            table, route, request, means.freshness, means.clock()
        )
        if isinstance(permit, Refusal):
            return permit
        if table.keys is not None:
            # From here on nothing holds the key: neither a sending nor news of it.
            name = permit.workspace.name if permit.workspace else None
            request = means.dialect.set_workspace(request, name)
        return Admitted(request, table, route, permit)

    def begin(self, admitted: Admitted, reply: Reply, stream: StreamBinding) -> Passage:
        """Begin the passage of a request that may run."""
        request, route = admitted.request, admitted.route
        permit = admitted.permit
        origin = stream.origin
        service = origin.service if origin else choose_service(route, self._rng)
        self.chooser.note_expected(request, route, service)
        return Passage(
            request,
            reply,
            route,
            service,
            FingerprintedRequest(request),
            forwarding.find_deadline(request, route),
            request.received_at + route.latency_objective_s - CALLER_WAY_S,
            forwarding.find_first_event_deadline(request, route),
            permit,
            find_rank(admitted.table, route, service, permit.workspace),
            is_long=self.chooser.expects_long(route, service),
            is_caller_retry=self._patience.note(route.name, request.wait_s),
            last_reason=find_obstacle(self.means.fleet.directory, stream),
            stream=stream,
        )
