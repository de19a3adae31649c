"""Structured logs: eliot messages with a fixed prefix for each part.

A line is one JSON object. ``text`` is a short sentence, ``request`` follows a
request through entry and agent.
"""

import os
import sys
import traceback
from collections.abc import Callable

import eliot

from robinspindle.boundedoutput import BoundedOutput
from robinspindle.core.decoding import shorten

SECRET_WORDS = ("key", "secret", "token", "authorization", "password")
Log = Callable[..., None]


def start_bounded_logs(
    node: str, descriptor: int = 1, tells_routine: bool = True
) -> BoundedOutput:
    """Send all logs to a descriptor that is never waited for.

    Args:
        node: Name of the process, added to every line.
        descriptor: Where to, by default standard output.
        tells_routine: Whether lines about success are written.

    Returns:
        The output, whose owner calls `flush` regularly.
    """
    output = BoundedOutput(descriptor, {"node": node}, tells_routine)
    eliot.add_destinations(output.write)
    return output


def start_logs(stream=None) -> None:
    """Send all logs to a text stream, by default standard error."""
    eliot.to_file(stream or sys.stderr)


def find_place(error: BaseException) -> str:
    """Find the file and line at which an error was raised; empty if not known."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    return f"{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}"


def describe_failure(error: BaseException) -> str:
    """Describe an unexpected error by its kind, its text and its place, in short."""
    place = find_place(error)
    at = f" at {place}" if place else ""
    return f"{type(error).__name__}{at}: {shorten(str(error))}"


def make_log(part: str) -> Log:
    """Make the function with which one part of the program logs.

    Args:
        part: The fixed prefix, for example ``entry``.

    Returns:
        A function of a sentence and fields. Fields whose names speak of secrets
        are refused, so that a key can't reach a log by mistake.
    """

    def write(text: str, **fields: object) -> None:
        for name in fields:
            if any(word in name.lower().split("_") for word in SECRET_WORDS):
                raise ValueError(f"a field named {name} must not be logged")
        eliot.log_message(message_type=f"robinspindle:{part}", text=text, **fields)

    return write
