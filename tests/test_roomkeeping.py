from contextlib import ExitStack
from types import SimpleNamespace

from robinspindle.core.engines import make_engine
from robinspindle.core.forwarding import Part, Prompt
from robinspindle.core.roomclaims import ClaimSums, Use
from robinspindle.roomkeeping import claim_room

PROMPT = Prompt("m", (Part("h", 1000),), 1500, 64)


def test_requests_of_one_id_each_claim_their_room():
    """Guards against an engine that seems empty beside callers that set no id."""
    engine = make_engine(False, 100_000)
    means = SimpleNamespace(
        fleet=SimpleNamespace(find_engine=lambda target: engine),
        clock=lambda: 1.0,
        peers=SimpleNamespace(changed=SimpleNamespace(set=lambda: None)),
    )
    stacks = [ExitStack() for _ in range(3)]
    for stack in stacks:
        passage = SimpleNamespace(request=SimpleNamespace(id="", prompt=PROMPT))
        stack.enter_context(claim_room(means, passage, None, Use.PROMISED))
    (tokens,) = {claim.tokens for claim in engine.room.claims.values()}
    assert tokens > 0
    for left in (3, 2, 1):
        assert engine.room.own == ClaimSums(left, left * tokens)
        stacks[left - 1].close()
    assert engine.room.own == ClaimSums()
