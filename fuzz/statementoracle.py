"""Judges gateways by what targets said: sent too late, or refused without need."""

from collections.abc import Iterator

from fuzz.statementworld import Account, Kind, World

GRACE_S = 0.5
MOST_IN_REST = 2
"""How long after a target has asked for rest requests may still come, seconds, and how
many may come after that."""

KINDS = (
    Kind(leaving_per_s=0.5),
    Kind(leaving_per_s=0.5, has_late_entries=True),
    Kind(leaving_per_s=0.5, restarts=False, targets=20),
    Kind(leaving_per_s=0.3, longest_wait_s=3.0),
    Kind(resting_per_s=0.5),
    Kind(resting_per_s=2.0, longest_wait_s=2.0),
    Kind(resting_per_s=0.5, has_late_entries=True, has_strangers=True),
    Kind(resting_per_s=3.0, leaving_per_s=0.5, gateways=12, requests_per_s=300.0),
    Kind(
        resting_per_s=0.5,
        leaving_per_s=0.3,
        has_late_entries=True,
        has_strangers=True,
        kills=True,
    ),
    Kind(resting_per_s=0.5, leaving_per_s=0.3, targets=1, has_late_entries=True),
)


def play_statements(seed: int, kinds: tuple[Kind, ...] = KINDS) -> tuple[str, ...]:
    """Play a seed of each kind; returns what was wrong."""
    faults = []
    for number, kind in enumerate(kinds):
        world = World(seed, kind)
        world.play()
        faults += [f"kind {number}: {fault}" for fault in _judge(world)]
    return tuple(faults)


def _judge(world: World) -> Iterator[str]:
    for gateway in world.gateways:
        for lifetime, account in gateway.accounts.items():
            pair = f"{gateway.name} to {lifetime}"
            yield from (f"{pair}: {fault}" for fault in _judge_account(account))
    for refusal in world.needless:
        yield f"{refusal.gateway} refused at {refusal.at:.3f}: {refusal.lifetime}"
    if not world.served:
        yield "nothing was served"


def _judge_account(account: Account) -> Iterator[str]:
    if account.left_at is not None:
        late = [sent for sent, _ in account.arrivals if sent > account.left_at]
        if late:
            yield f"{len(late)} sent after {account.left_at:.3f}, as it left"
    for asked_at, rest_s in account.rests:
        begin, end = asked_at + GRACE_S, asked_at + rest_s
        came = sum(begin < at < end for _, at in account.arrivals)
        if came > MOST_IN_REST:
            yield f"{came} came in the rest of {rest_s} s from {asked_at:.3f}"
