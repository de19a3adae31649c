"""Takes callers' requests in: finds their routes and permits, and has them served."""

import asyncio
import random

from robinspindle.admitting import Admission
from robinspindle.attempts import Attempts
from robinspindle.choosing import Chooser
from robinspindle.core import forwarding, retrywindows
from robinspindle.core.forwarding import Request
from robinspindle.core.peerdigests import Placement
from robinspindle.exceptions import CallerLeftError
from robinspindle.finalanswers import FinalAnswers
from robinspindle.passages import Means, Passage, end_by
from robinspindle.relaylogs import RelayLog
from robinspindle.replies import Reply
from robinspindle.requestparser import Incoming
from robinspindle.streambinding import bind_stream, note_whole


class Relay:
    """Forwards requests to targets.

    Attributes:
        chooser: Chooses where they go.
        admission: Finds their routes and permits.
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
        self.admission = Admission(means, self.chooser, self._rng)
        self._under_way: dict[int, Passage] = {}

    @property
    def placements(self) -> list[Placement]:
        """Prompts placed since they were last told to the peers."""
        return self._attempts.delivery.placements

    def begin_stop(self, end_at: float) -> None:
        """Have all requests answered before the process ends.

        Args:
            end_at: When their answers have to have ended, steady seconds.
        """
        now = self._means.clock()
        self._means.ending.at = end_at
        for passage in self._under_way.values():
            end_by(passage, end_at, now)

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
        end_by(passage, self._means.ending.at, self._means.clock())
        self._under_way[id(passage)] = passage
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
            del self._under_way[id(passage)]
            self.chooser.note_end(passage, self._means.clock(), is_served)
            if is_served:
                note_whole(self._means, passage)

    async def _admit(
        self, request: Request, reply: Reply
    ) -> Passage | forwarding.Refusal:
        """Find a request's route and permit, and who began the stream it takes up."""
        admitted = self.admission.admit(request)
        if isinstance(admitted, forwarding.Refusal):
            return admitted
        stream = await bind_stream(
            self._means, admitted.route, admitted.request, admitted.permit
        )
        return self.admission.begin(admitted, reply, stream)
