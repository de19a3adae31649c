"""How one sending to a target may end."""

from enum import Enum


class End(Enum):
    """How one sending ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    UNSURE = "unsure"
    FAULT = "fault"
