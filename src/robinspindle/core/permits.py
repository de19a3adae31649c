"""Whether a request may run: by its key, and by how sure the configuration is.

It is asked when a request comes, and again before each sending, as keys are taken away
while it waits. What has begun to run stays whole.
"""

from dataclasses import dataclass

from robinspindle.core.forwarding import NOT_FRESH, UNKNOWN_KEY, Refusal, Request
from robinspindle.core.freshness import Freshness, may_deny, may_serve
from robinspindle.core.routes import Route, RouteTable
from robinspindle.core.workspaces import Workspace, digest_key, find_owner


@dataclass(frozen=True)
class Permit:
    """By whose key a request may run.

    Attributes:
        workspace: Whose key it is; None where it needs none and shows none.
        digest: The key's digest; None where it needs none.
    """

    workspace: Workspace | None = None
    digest: bytes | None = None


OPEN = Permit()
"""What needs no key may run."""


def authorize(
    table: RouteTable, route: Route, request: Request, freshness: Freshness, now: float
) -> Permit | Refusal:
    """Find by whose key a request may run, or why it may not.

    Args:
        table: The configuration in force.
        route: The request's route.
        request: The request, with its key.
        freshness: What is known of the age of the configuration.
        now: The present time, steady seconds.
    """
    if table.keys is None:
        return OPEN
    digest = None if request.key is None else digest_key(request.key)
    workspace = None if digest is None else find_owner(table.keys, digest)
    if route.is_public:
        return Permit(workspace)
    if workspace is None:
        # No key at all is never one that was given out since.
        is_certain = digest is None or may_deny(freshness, now)
        return UNKNOWN_KEY if is_certain else NOT_FRESH
    if not may_serve(freshness, request.received_at):
        return NOT_FRESH
    return Permit(workspace, digest)


def is_revoked(table: RouteTable, permit: Permit) -> bool:
    """Whether the key of a request that waits was taken away since it came."""
    if permit.digest is None:
        return False
    return table.keys is None or find_owner(table.keys, permit.digest) is None
