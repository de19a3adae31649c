"""What requests have in common that crash targets."""

from dataclasses import dataclass

from robinspindle.core.fingerprints import Fingerprint, FingerprintedRequest


@dataclass(frozen=True)
class Cause:
    """What requests have in common that crash targets.

    Attributes:
        fingerprint: A whole request, or a part of prompts.
        companions: Other parts that a request must contain too to be affected.
    """

    fingerprint: Fingerprint
    companions: frozenset[Fingerprint] = frozenset()

    @property
    def members(self) -> frozenset[Fingerprint]:
        """All fingerprints that an affected request contains."""
        return self.companions | {self.fingerprint}


def is_affected(named: FingerprintedRequest, cause: Cause) -> bool:
    """Whether a request contains all by which a cause crashes targets."""
    return all(map(named.has, cause.members))
