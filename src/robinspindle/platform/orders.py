"""Writes orders to engines and reads what they say to them."""

import msgspec

from robinspindle.core.lives import find_id
from robinspindle.ordering import Order, OrderOutcome

OUTCOMES = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.TAKEN,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.REPLACED,
}


def encode_order(order: Order) -> bytes:
    """Write an order to change an engine's role."""
    body = msgspec.json.encode(
        {
            "Op": "Stage",
            "Stage": order.role,
            "Holder": order.holder,
            "Fence": order.fence,
        }
    )
    head = (
        "POST /order HTTP/1.1\r\n"
        f"Host: {order.address}\r\n"
        f"X-Expect-Instance: {find_id(order.lifetime)}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def decode_outcome(status: int) -> OrderOutcome:
    """Read how an order was taken."""
    return OUTCOMES.get(status, OrderOutcome.REFUSED)
