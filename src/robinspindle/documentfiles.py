"""Reads the text of settings, policies and configurations from files."""

from pathlib import Path

from robinspindle.exceptions import Finding, InvalidDocumentError


def read_document(path: str) -> str:
    """Read the text of a document.

    Raises:
        InvalidDocumentError: If the file can't be read or is no UTF-8 text.
    """
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidDocumentError([Finding(path, "", "", 0, str(error))]) from None
