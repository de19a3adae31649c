"""How many of a target's connections one gateway may use.

A target takes a limited number of connections from all gateways together. An equal
share is enough while a balancer spreads the callers; a gateway that gets most of them
needs what the others leave unused.
"""

LEAST_CONNECTIONS = 2
"""Connections of a target that a gateway may always have."""

FREE_SHARE = 1 / 3
"""Share of the connections that other gateways leave unused, which one gateway may
have: several may take them before they hear of each other, and unused connections of a
gateway stay open for a while."""


def find_share(total: int, gateways: int, others: int | None) -> int:
    """Find how many connections of a target a gateway may use.

    Args:
        total: Connections that the target takes.
        gateways: Number of gateways, this one included.
        others: Requests that the other gateways have there; None if it isn't known of
            all of them.
    """
    equal = total // gateways
    unused = 0 if others is None else int((total - others) * FREE_SHARE)
    return max(LEAST_CONNECTIONS, equal, unused)
