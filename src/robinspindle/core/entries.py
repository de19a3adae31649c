"""Tracks invalid entries of the platform's list.

Other programs may write to the list too. An invalid entry is logged once, with its key
and the reason. It is logged again only if it becomes invalid for another reason, or
after it was valid in between.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_KEYS = 1024
"""Keys that are remembered, the most recent ones: a writer may use new ones forever."""


@dataclass
class UnusableEntries:
    """The invalid entries that were logged.

    Attributes:
        reasons: Reason for which each key's entry is invalid.
        total: Number of invalid entries so far, for metrics.
    """

    reasons: OrderedDict[str, str] = field(default_factory=OrderedDict)
    total: int = 0

    def note(self, key: str, reason: str) -> bool:
        """Record an invalid entry; return whether it has to be logged."""
        self.total += 1
        is_new_reason = self.reasons.get(key) != reason
        self.reasons[key] = reason
        self.reasons.move_to_end(key)
        while len(self.reasons) > MAX_KEYS:
            self.reasons.popitem(last=False)
        return is_new_reason

    def forget(self, key: str) -> None:
        """Record that a key's entry is valid or gone."""
        self.reasons.pop(key, None)
