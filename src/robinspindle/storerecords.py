"""Records of the platform's store, as its client reads them."""

from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(frozen=True)
class KeyedRecord:
    """A key and its new value; a value of None drops the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True)
class Records(Generic[Item]):
    """Records of one topic.

    Attributes:
        items: The records: keyed ones, or bytes in a topic without keys.
        end: The offset from which reading continues.
        topic_end: The offset after the topic's last record.
    """

    items: tuple[Item, ...]
    end: int
    topic_end: int
