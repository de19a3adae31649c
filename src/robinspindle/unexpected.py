"""Sends what the event loop, the interpreter and libraries report to the logs.

They write to standard error otherwise, which holds the process up where nobody reads.
"""

import asyncio
import logging
import sys

from robinspindle.supervision import FailureLog

MOST_CHARACTERS = 500


class ReportedError(Exception):
    """Something that was reported without an error."""


class _Handler(logging.Handler):
    """Takes what libraries log of warnings and errors."""

    def __init__(self, failures: FailureLog):
        super().__init__(logging.WARNING)
        self._failures = failures

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record."""
        error = record.exc_info[1] if record.exc_info else None
        text = str(record.msg)[:MOST_CHARACTERS]
        self._failures.note(record.name, error or ReportedError(text), report=text)


def report_to(failures: FailureLog, loop: asyncio.AbstractEventLoop) -> None:
    """Have all that nobody catches logged.

    Args:
        failures: Takes the failures.
        loop: The event loop.
    """

    def note_in_loop(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        text = str(context.get("message", ""))[:MOST_CHARACTERS]
        error = context.get("exception") or ReportedError(text)
        failures.note("event loop", error, report=text)

    def note_unraisable(unraisable) -> None:
        error = unraisable.exc_value or ReportedError(str(unraisable.exc_type))
        failures.note("interpreter", error, report=str(unraisable.err_msg or ""))

    loop.set_exception_handler(note_in_loop)
    sys.unraisablehook = note_unraisable
    logging.raiseExceptions = False
    logging.getLogger().addHandler(_Handler(failures))
