"""The exception tree: every error that this package raises on purpose."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One thing that is wrong in a document, with its place.

    Attributes:
        file: Name of the file or document.
        section: INI section, empty when the finding is about the whole file.
        key: Key in that section, empty when it is about the whole section.
        line: Line number from 1, or 0 where no line can be named.
        text: What is wrong and how to mend it, one sentence.
    """

    file: str
    section: str
    key: str
    line: int
    text: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        name = f"[{self.section}] {self.key}".strip() if self.section else self.key
        return f"{place}: {name}: {self.text}" if name else f"{place}: {self.text}"


class RobinspindleError(Exception):
    """Root of all errors raised by robinspindle."""


class InvalidDocumentError(RobinspindleError):
    """A settings file or a configuration document has findings.

    Attributes:
        findings: Everything that is wrong, in the order of the document.
    """

    def __init__(self, findings: list[Finding]):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class BadDocumentError(RobinspindleError):
    """A document from the platform's store can't be read."""


class NotQuarantinedError(RobinspindleError):
    """No request, or more than one, is turned away whose fingerprint begins so."""


class LogServiceError(RobinspindleError):
    """Root of errors about the platform's log service."""


class EraChangedError(LogServiceError):
    """The store has returned from a copy; what was known of its offsets is void."""


class LogUnavailableError(LogServiceError):
    """The log service did not answer; an append may have taken effect.

    Attributes:
        received: Bytes of the answer that had come.
        silent_s: How long nothing of it had come, seconds.
    """

    def __init__(self, message: str, received: int = 0, silent_s: float = 0.0):
        super().__init__(message)
        self.received = received
        self.silent_s = silent_s


class UnusableTopicError(Exception):
    """None of the records of a topic can be applied: nothing that it says is known."""


class RecordsTrimmedError(LogServiceError):
    """The records asked for are no longer retained.

    Attributes:
        first: The first offset that is still retained.
    """

    def __init__(self, first: int):
        super().__init__(f"records before offset {first} are no longer retained")
        self.first = first


class LogConflictError(LogServiceError):
    """An append was refused because the log ends elsewhere than expected.

    Attributes:
        end: Where it ends.
    """

    def __init__(self, end: int):
        super().__init__(f"the log ends at {end}")
        self.end = end


class LogIncompleteError(LogServiceError):
    """The retained records do not begin at 0 and hold no usable checkpoint."""


class EntryStoppedError(RobinspindleError):
    """The entry takes no more requests; this one was not run."""


class TurnedAwayError(RobinspindleError):
    """A request is not sent, as it became known that it crashes targets."""


class CallerLeftError(RobinspindleError):
    """The caller of a request has closed its connection; nothing is sent for it."""


class EngineError(RobinspindleError):
    """Root of errors about a model engine or a plain service."""


class EngineUnreachableError(EngineError):
    """The target gave no answer, or broke it off midway.

    Attributes:
        was_reached: Whether the call may have reached the target.
    """

    def __init__(self, message: str, was_reached: bool = True):
        super().__init__(message)
        self.was_reached = was_reached


class FencedError(EngineError):
    """The engine refused an order because it has seen a newer fencing number."""


class OrderFailedError(EngineError):
    """The engine took an order and could not carry it out."""


class IntentError(RobinspindleError):
    """An intent cannot be planned.

    Attributes:
        findings: Everything that speaks against it.
    """

    def __init__(self, findings: list[Finding]):
        super().__init__("; ".join(finding.text for finding in findings))
        self.findings = findings


class ApiError(RobinspindleError):
    """An entry answered a command with an error.

    Attributes:
        status: HTTP status code.
        body: The decoded error object.
    """

    def __init__(self, status: int, message: str, body: object = None):
        super().__init__(message)
        self.status = status
        self.body = body


class KeyFileError(RobinspindleError):
    """A key file is missing, unreadable or not a key."""
