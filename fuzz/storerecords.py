"""Records of a stand-in store, as the product reads them."""

from dataclasses import dataclass
from typing import Generic, TypeVar

Value = TypeVar("Value")


@dataclass(frozen=True)
class Record(Generic[Value]):
    """A record of the store."""

    key: str
    value: Value
