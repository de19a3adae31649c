"""Replicas that misbehave now and then."""

import random

from soak.oracle import Oracle
from standins.replica import Replica

MISBEHAVIOURS = {
    "": ("full", "error", "unmarked", "reset", "garbage", "unsealed", "surplus")
    + ("twice", "interim", "unframed", "cut_unframed"),
    "decode": ("full", "reset", "torn", "error", "wrong_role", "garbage"),
    "prefill": ("full", "reset", "error", "garbage"),
}
"""What a replica may do to a request, by its role."""


class SoakReplica(Replica):
    """A replica that misbehaves now and then and tells the oracle what it runs."""

    def __init__(self, lifetime, service, role, oracle: Oracle, rng: random.Random):
        super().__init__(lifetime, service, role)
        self._oracle = oracle
        self._rng = rng
        self.bad_share = 0.0
        self.is_leaving = False

    async def _answer(self, request, writer) -> bool:
        if request.method == "POST" and request.target != "/order":
            if self._rng.random() < self.bad_share:
                self.behaviours.append(self._rng.choice(MISBEHAVIOURS[self.role]))
            self._note(request)
        return await super()._answer(request, writer)

    def _note(self, request) -> None:
        is_read = request.headers.get("x-stage") == "prefill"
        turned_away = self.behaviours and self.behaviours[0] in ("full", "wrong_role")
        is_other = request.headers.get("x-expect-instance") != self.lifetime
        if not is_read and not turned_away and not is_other:
            self._oracle.note_run(request.headers["x-request-id"], request.body)
