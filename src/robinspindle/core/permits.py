"""Authorizes requests by their keys and by the age of the configuration.

A request is authorized when it arrives, and checked again before each attempt, because
its key may be revoked while it waits. A request that already runs at a target isn't
cancelled.
"""

from dataclasses import dataclass

from robinspindle.core.forwarding import (
    NOT_FRESH,
    UNKNOWN_KEY,
    UNUSABLE_KEY,
    Refusal,
    Request,
)
from robinspindle.core.freshness import Freshness, may_deny, may_serve
from robinspindle.core.routes import Route, RouteTable
from robinspindle.core.workspaces import Workspace, digest_key, find_owner


@dataclass(frozen=True)
class Permit:
    """The permission of a request to run.

    Attributes:
        workspace: The workspace of its key; None if it needs no key and has none.
        digest: The digest of its key; None if it needs no key.
    """

    workspace: Workspace | None = None
    digest: bytes | None = None


OPEN = Permit()
"""The permit of every request if the configuration has no keys."""


def authorize(
    table: RouteTable, route: Route, request: Request, freshness: Freshness, now: float
) -> Permit | Refusal:
    """Authorize a request by its key.

    Args:
        table: The current configuration.
        route: The request's route.
        request: The request, with its key.
        freshness: What is known of the age of the configuration.
        now: The current time, monotonic seconds.

    Returns:
        The permit, or the refusal. An unknown key is refused for good only if the
        configuration is recent enough to know all keys.
    """
    if table.keys is None:
        return OPEN
    digest = None if request.key is None else digest_key(request.key)
    workspace = None if digest is None else find_owner(table.keys, digest)
    if route.is_public:
        return Permit(workspace)
    if digest in table.keys.withheld:
        return UNUSABLE_KEY
    if workspace is None:
        # A request without a key is invalid however old the configuration is.
        is_known = table.keys.is_complete and may_deny(freshness, now)
        is_certain = digest is None or is_known
        return UNKNOWN_KEY if is_certain else NOT_FRESH
    if not may_serve(freshness, request.received_at):
        return NOT_FRESH
    return Permit(workspace, digest)


def is_revoked(table: RouteTable, permit: Permit) -> bool:
    """Return whether the key of a waiting request was revoked since it arrived."""
    if permit.digest is None:
        return False
    return table.keys is None or find_owner(table.keys, permit.digest) is None


def refuse_revoked(table: RouteTable, permit: Permit) -> Refusal:
    """Refuse a waiting request whose key was revoked."""
    if table.keys is not None and permit.digest in table.keys.withheld:
        return UNUSABLE_KEY
    return UNKNOWN_KEY
