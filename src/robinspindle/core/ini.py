"""Parses INI text into validated data classes and collects all findings."""

import configparser
import difflib
import re
from dataclasses import fields, is_dataclass
from typing import Any

from robinspindle.exceptions import Finding

SECTION_HEADER = re.compile(r"^\s*\[([^\]]+)\]")
MOST_WORD = 50
"""Longest word for which close ones are looked for, characters."""

MESSAGES_BY_TYPE = {"missing": "is required"}


class IniDocument:
    """INI text with the line of each section and key.

    Attributes:
        file: File name used in findings.
        findings: The findings so far.
        sections: Keys and values of each section, by the section's header.
    """

    def __init__(self, file: str, text: str):
        self.file = file
        self.findings: list[Finding] = []
        self.sections: dict[str, dict[str, str]] = {}
        self._lines: dict[tuple[str, str], int] = {}
        self._find_lines(text)
        self._read(text)

    def add_finding(self, section: str, key: str, text: str) -> None:
        """Record a finding at the line of a key, or of its section."""
        line = self._lines.get((section, key)) or self._lines.get((section, ""), 0)
        self.findings.append(Finding(self.file, section, key, line, text))

    def build(self, section: str, cls: type, name: str | None = None) -> Any:
        """Build a pydantic data class from one section.

        Args:
            section: The section's header, without brackets.
            cls: The data class to build.
            name: Value for the field ``name``, if the class has one.

        Returns:
            The object, or None if the section has findings.
        """
        # Imported here, so that processes that only read the policy file, and build no
        # data class, don't load it into their memory.
        import pydantic

        values: dict[str, Any] = dict(self.sections.get(section, {}))
        known = [f.name for f in fields(cls)] if is_dataclass(cls) else []
        if "name" in values and name is not None:
            self.add_finding(section, "name", "is taken from the section's header")
            return None
        if name is not None:
            values["name"] = name
        unknown = [key for key in values if key not in known]
        for key in unknown:
            self.add_finding(section, key, describe_unknown(key, known))
            del values[key]
        try:
            built = cls(**values)
        except pydantic.ValidationError as error:
            for detail in error.errors():
                key = str(detail["loc"][0]) if detail["loc"] else ""
                text = MESSAGES_BY_TYPE.get(detail["type"], detail["msg"])
                self.add_finding(section, key, text)
            return None
        return None if unknown else built

    def _find_lines(self, text: str) -> None:
        section = ""
        for number, line in enumerate(text.splitlines(), 1):
            header = SECTION_HEADER.match(line)
            if header:
                section = header.group(1)
                self._lines.setdefault((section, ""), number)
            elif "=" in line and not line.lstrip().startswith(("#", ";")):
                key = line.split("=", 1)[0].strip().lower()
                self._lines.setdefault((section, key), number)

    def _read(self, text: str) -> None:
        parser = configparser.ConfigParser(interpolation=None, default_section="\0")
        try:
            parser.read_string(text, self.file)
        except configparser.DuplicateOptionError as error:
            self._add_parse_finding(error.lineno, error.section, error.option, "twice")
        except configparser.DuplicateSectionError as error:
            self._add_parse_finding(error.lineno, error.section, "", "section twice")
        except configparser.MissingSectionHeaderError as error:
            self._add_parse_finding(error.lineno, "", "", "a line before any section")
        except configparser.ParsingError as error:
            for line, content in error.errors:
                self._add_parse_finding(line, "", "", f"not `key = value`: {content}")
        except configparser.Error as error:
            self._add_parse_finding(0, "", "", str(error))
        for section in parser.sections():
            # After some errors the values before them are still lists of lines.
            self.sections[section] = {
                key: value
                for key, value in parser[section].items()
                if isinstance(value, str)
            }

    def _add_parse_finding(self, line: int, section: str, key: str, text: str) -> None:
        self.findings.append(Finding(self.file, section, key, line or 0, text))


def describe_unknown(word: str, known: list[str]) -> str:
    """Make the text of a finding for an unknown word, with the closest known word."""
    close_words = difflib.get_close_matches(word[:MOST_WORD], known, n=1)
    hint = f"; did you mean `{close_words[0]}`?" if close_words else ""
    return f"unknown{hint}"
