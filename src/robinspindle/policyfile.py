"""Reads the policy file: INI with switches, `on` or `off`, and terms of traffic."""

import configparser
from dataclasses import dataclass, fields

from robinspindle.core.ini import IniDocument, describe_unknown
from robinspindle.core.policy import Policy
from robinspindle.core.zonecosts import ZoneTerms, find_term_fault, list_term_names
from robinspindle.documentfiles import read_document
from robinspindle.exceptions import InvalidDocumentError

SECTION = "decisions"
ZONES_SECTION = "zones"
SECTIONS = [SECTION, ZONES_SECTION]
MOST_BYTES = 1 << 14
"""Longest policy file: twenty times what all its keys take."""

WORDS = configparser.ConfigParser.BOOLEAN_STATES


@dataclass(frozen=True)
class PolicyFile:
    """What a policy file says.

    Attributes:
        policy: The switches.
        zone_terms: The terms for traffic between availability zones.
    """

    policy: Policy = Policy()
    zone_terms: ZoneTerms = ZoneTerms()


def read_policy_file(path: str) -> PolicyFile:
    """Read and check a policy file; what it does not name keeps its default.

    Raises:
        InvalidDocumentError: With every finding and its place, when there is any.
    """
    return parse_policy(path, read_document(path, MOST_BYTES))


def parse_policy(path: str, text: str) -> PolicyFile:
    """Check the text of a policy file.

    Args:
        path: The file's name in findings.
        text: What it holds.

    Raises:
        InvalidDocumentError: With every finding and its place, when there is any.
    """
    document = IniDocument(path, text)
    for section in document.sections:
        if section not in SECTIONS:
            document.add_finding(section, "", describe_unknown(section, SECTIONS))
    values = _read_switches(document)
    terms = _read_zone_terms(document)
    if document.findings:
        raise InvalidDocumentError(document.findings)
    return PolicyFile(Policy(**values), ZoneTerms(**terms))


def read_policy(path: str) -> Policy:
    """Read and check a policy file, and return its switches.

    Raises:
        InvalidDocumentError: With every finding and its place, when there is any.
    """
    return read_policy_file(path).policy


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


def _read_zone_terms(document: IniDocument) -> dict[str, float]:
    known = list_term_names()
    values = {}
    for key, text in document.sections.get(ZONES_SECTION, {}).items():
        if key not in known:
            document.add_finding(ZONES_SECTION, key, describe_unknown(key, known))
            continue
        fault = find_term_fault(key, text)
        if fault:
            document.add_finding(ZONES_SECTION, key, fault)
        else:
            values[key] = float(text)
    return values
