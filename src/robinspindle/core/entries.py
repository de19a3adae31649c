"""Entries of the platform's list that name no target to use.

Others may write there too. Such an entry is told once, with its key and why, and told
again only if it turns bad for another reason or after it was good.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

MOST_KEPT = 1024
"""Keys that are remembered, the ones noted last: a writer may use new ones for ever."""


@dataclass
class UnusableEntries:
    """What was told.

    Attributes:
        reasons: Why each key's entry can't be used.
        total: Entries that could not be used so far, for metrics.
    """

    reasons: OrderedDict[str, str] = field(default_factory=OrderedDict)
    total: int = 0

    def note(self, key: str, reason: str) -> bool:
        """Take note of an entry that can't be used; whether that is news."""
        self.total += 1
        is_news = self.reasons.get(key) != reason
        self.reasons[key] = reason
        self.reasons.move_to_end(key)
        while len(self.reasons) > MOST_KEPT:
            self.reasons.popitem(last=False)
        return is_news

    def forget(self, key: str) -> None:
        """Take note that a key's entry is good, or gone."""
        self.reasons.pop(key, None)
