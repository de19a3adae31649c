"""An account of the bytes that a process holds for peers that read slowly.

While there is memory, a target is read on though its caller is slow: an answer that
stays unread would be cut off, and would fill the target's memory. Beyond the bound the
largest holders wait first, so that one slow caller or workspace takes no memory from
the others.
"""

from collections import Counter
from dataclasses import dataclass, field

HELD_SHARE = 0.25
"""Share of the process's memory that may be held for slow readers."""

FREE_SHARE = 0.5
"""Share of that bound up to which only a single large holder has to wait."""

MAX_HOLDER_SHARE = 0.125
"""Share of the bound that one answer may take."""

BYTES_PER_MB = 1e6


@dataclass(eq=False)
class Holding:
    """What is held of one answer.

    Attributes:
        workspace: Whose it is; empty if not known.
        target: Lifetime of the target that it comes from.
        bytes: Bytes that its caller has not taken.
    """

    workspace: str
    target: str
    bytes: int = 0


@dataclass
class HeldBytes:
    """All that a process holds.

    Attributes:
        max_bytes: Bound on the sum.
        total: The sum.
        holdings: What it is made of.
        by_workspace: The sum by workspace.
        waits: How often a target had to wait so far.
    """

    max_bytes: float
    total: int = 0
    holdings: set[Holding] = field(default_factory=set)
    by_workspace: Counter[str] = field(default_factory=Counter)
    waits: int = 0


def find_bound(memory_mb: float) -> float:
    """Return how much a process may hold, bytes.

    Args:
        memory_mb: Memory at which it is killed, MB.
    """
    return HELD_SHARE * memory_mb * BYTES_PER_MB


def note_held(account: HeldBytes, holding: Holding, count: int) -> None:
    """Record how many bytes of an answer are held now."""
    change = count - holding.bytes
    holding.bytes = count
    account.total += change
    account.by_workspace[holding.workspace] += change
    if count:
        account.holdings.add(holding)
        return
    account.holdings.discard(holding)
    if not account.by_workspace[holding.workspace]:
        del account.by_workspace[holding.workspace]


def is_scarce(account: HeldBytes) -> bool:
    """Return whether the free part of the bound is used up."""
    return account.total > FREE_SHARE * account.max_bytes


def must_wait(account: HeldBytes, holding: Holding) -> bool:
    """Return whether the target of an answer has to wait for its caller.

    Beyond the free part that is so for who holds more than an equal share of its
    workspace, where the workspace holds more than an equal share of all. Beyond the
    bound it is so for all.
    """
    if holding.bytes > MAX_HOLDER_SHARE * account.max_bytes:
        return True
    if account.total > account.max_bytes:
        return True
    if not is_scarce(account):
        return False
    held = account.by_workspace[holding.workspace]
    if held * len(account.by_workspace) < account.total:
        return False
    same = sum(h.workspace == holding.workspace for h in account.holdings)
    return holding.bytes * same >= held
