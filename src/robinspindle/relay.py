"""Takes callers' requests in: finds their routes and permits, and has them served."""

import asyncio
import random

from robinspindle.attempts import Attempts
from robinspindle.choosing import Chooser
from robinspindle.core import forwarding, permits, retrywindows
from robinspindle.core.fingerprints import FingerprintedRequest
from robinspindle.core.forwarding import Request
from robinspindle.core.peerdigests import Placement
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
from robinspindle.exceptions import CallerLeftError
from robinspindle.finalanswers import FinalAnswers
from robinspindle.passages import Means, Passage
from robinspindle.relaylogs import RelayLog
from robinspindle.replies import Reply
from robinspindle.requestparser import Incoming
from robinspindle.streambinding import bind_stream, note_whole

CALLER_WAY_S = 0.008
"""Part of an aim that the way to the caller and back takes, seconds."""


class Relay:
    """Forwards requests to targets.

    Attributes:
        chooser: Chooses where they go.
    """

    def __init__(self, means: Means):
        self._means = means
        self._rng = random.Random()
        self._log = RelayLog(means)
        self._final = FinalAnswers(means, self._log, self._rng)
        self.chooser = Chooser(means, self._rng)
        self._attempts = Attempts(
            means, self.chooser, self._final, self._log, self._rng
        )
        self._patience = RetryDetector()

    @property
    def placements(self) -> list[Placement]:
        """Prompts placed since they were last told to the peers."""
        return self._attempts.delivery.placements

    def look_after_leaving(self, now: float, leave_s: float) -> None:
        """Have answers moved away from engines that leave.

        Args:
            now: The present time, steady seconds.
            leave_s: How long a leaving engine goes on generating, seconds.
        """
        self._attempts.moves.look_after_leaving(now, leave_s)

    async def handle(self, incoming: Incoming, reply: Reply) -> None:
        """Serve one request of a caller."""
        request = self._means.dialect.decode_request(
            incoming.method, incoming.target, incoming.headers, incoming.at
        )
        request = self._means.dialect.add_body(request, incoming.body)
        passage = await self._admit(request, reply)
        if isinstance(passage, forwarding.Refusal):
            self._final.refuse(request, reply, passage)
            return
        refusal = self._means.guard.find_refusal(passage.named)
        if refusal is not None:
            reply.refuse(refusal)
            self._log.log_turned_away(passage, refusal)
            return
        retrywindows.count_request(
            self._means.budget, self._means.clock(), passage.service
        )
        self.chooser.note_arrival(passage, self._means.clock())
        is_served = False
        try:
            is_served = await self._attempts.serve(passage)
        except asyncio.CancelledError:
            self._log.log_end(passage, None, "caller left")
            raise
        except CallerLeftError:
            self._log.log_end(passage, None, "caller left: found before a send")
            reply.break_off()
        except Exception as error:
            self._log.log_failed(request, error)
            # What was sent may have run.
            passage.runs += passage.offers
            if not reply.is_ended:
                self._final.give_up(passage, "failed")
        finally:
            self.chooser.note_end(passage, self._means.clock(), is_served)
            if is_served:
                note_whole(self._means, passage)

    async def _admit(
        self, request: Request, reply: Reply
    ) -> Passage | forwarding.Refusal:
        """Find a request's route and by whose key it may run, or why it may not."""
        means = self._means
        table = means.fleet.table
        if table is None:
            return forwarding.NO_CONFIGURATION
        route = find_route(table, request.host, request.path)
        if route is None:
            return forwarding.NO_ROUTE
        permit = permits.authorize(
            table, route, request, means.freshness, means.clock()
        )
        if isinstance(permit, forwarding.Refusal):
            return permit
        if table.keys is not None:
            # From here on nothing holds the key: neither a sending nor news of it.
            name = permit.workspace.name if permit.workspace else None
            request = means.dialect.set_workspace(request, name)
        stream = await bind_stream(means, route, request, permit)
        return self._begin_passage(request, reply, table, route, permit, stream)

    def _begin_passage(
        self,
        request: Request,
        reply: Reply,
        table: RouteTable,
        route: Route,
        permit: Permit,
        stream: StreamBinding,
    ) -> Passage:
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
            find_rank(table, route, service, permit.workspace),
            is_long=self.chooser.expects_long(route, service),
            is_caller_retry=self._patience.note(route.name, request.wait_s),
            last_reason=find_obstacle(self._means.fleet.directory, stream),
            stream=stream,
        )
