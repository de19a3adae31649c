"""Reads the policy file: INI with one section, each key `on` or `off`."""

import configparser
from dataclasses import fields

from robinspindle.core.ini import IniDocument, describe_unknown
from robinspindle.core.policy import Policy
from robinspindle.documentfiles import read_document
from robinspindle.exceptions import InvalidDocumentError

SECTION = "decisions"
WORDS = configparser.ConfigParser.BOOLEAN_STATES


def read_policy(path: str) -> Policy:
    """Read and check a policy file; what it does not name is on.

    Raises:
        InvalidDocumentError: With every finding and its place, when there is any.
    """
    document = IniDocument(path, read_document(path))
    for section in document.sections:
        if section != SECTION:
            document.add_finding(section, "", describe_unknown(section, [SECTION]))
    values = _read_switches(document)
    if document.findings:
        raise InvalidDocumentError(document.findings)
    return Policy(**values)


def _read_switches(document: IniDocument) -> dict[str, bool]:
    known = [field.name for field in fields(Policy)]
    values = {}
    for key, word in document.sections.get(SECTION, {}).items():
        if key not in known:
            document.add_finding(SECTION, key, describe_unknown(key, known))
        elif word.lower() not in WORDS:
            document.add_finding(SECTION, key, f"`{word}` is neither on nor off")
        else:
            values[key] = WORDS[word.lower()]
    return values
