"""Encodes orders to engines and decodes their responses."""

from robinspindle.core.lifetimes import find_id
from robinspindle.ordering import Order, OrderOutcome
from robinspindle.platform.jsoncalls import write_json_call

OUTCOMES = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.TAKEN,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.REPLACED,
}


def encode_order(order: Order) -> bytes:
    """Encode an order to change an engine's role."""
    values = {
        "Op": "Stage",
        "Stage": order.role,
        "Holder": order.holder,
        "Fence": order.fence,
    }
    headers = (("X-Expect-Instance", find_id(order.lifetime)),)
    return write_json_call("/order", order.address, headers, values)


def decode_outcome(status: int) -> OrderOutcome:
    """Return the outcome of an order from its HTTP status."""
    return OUTCOMES.get(status, OrderOutcome.REFUSED)
