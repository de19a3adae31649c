"""Reads the text of settings, policies and configurations from files."""

import os
import stat

from robinspindle.exceptions import Finding, InvalidDocumentError

MOST_BYTES = 1 << 20
"""Longest document: a process that reads one again does nothing else meanwhile."""


def read_document(path: str, most_bytes: int = MOST_BYTES) -> str:
    """Read the text of a document.

    Args:
        path: The file.
        most_bytes: Its greatest length.

    Raises:
        InvalidDocumentError: If the file can't be read, is no regular file, is too long
            or is no UTF-8 text.
    """
    try:
        return _read_bytes(path, most_bytes).decode()
    except (OSError, ValueError) as error:
        raise InvalidDocumentError([Finding(path, "", "", 0, str(error))]) from None


def _read_bytes(path: str, most_bytes: int) -> bytes:
    """Read a file whole, without waiting for who might write it.

    Raises:
        OSError: If it can't be read.
        ValueError: If it is no regular file, or too long.
    """
    # Without the flag, opening a named pipe waits until somebody writes to it.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(descriptor, "rb") as file:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise ValueError("is no regular file")
        data = file.read(most_bytes + 1)
    if len(data) > most_bytes:
        raise ValueError(f"is longer than {most_bytes} bytes")
    return data
