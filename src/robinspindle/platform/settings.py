"""Reads the platform's settings file (TOML) into `GatewaySettings`."""

import tomllib
from typing import Any

import msgspec

from robinspindle.core.decoding import MAX_PORT, is_ipv4
from robinspindle.documentfiles import read_document
from robinspindle.exceptions import Finding, InvalidDocumentError
from robinspindle.gatewaysettings import (
    DEFAULT_DESCRIPTORS,
    DutySettings,
    GatewaySettings,
    HostPort,
    Pledges,
)

SETTINGS_VARIABLE = "ROBINSPINDLE_CONFIG"

MISSING = object()

MOST_BYTES = 1 << 17
"""Longest settings file: twice the longest template, as filling it makes it longer."""

MOST_DOTS = 250
"""Dots in one line, at most: reading a key takes the square of its parts."""

MOST_KEY_BYTES = 255
"""Longest name of a gateway, as the store's keys may be no longer."""

MOST_S = 1e6
"""Longest time that is promised, seconds: eleven days."""

MOST = 1e9
"""Greatest of all other numbers."""

LEAST_DESCRIPTORS = 64
"""Fewest descriptors with which a gateway can serve anybody."""

LEAST_WINDOW_S = 0.001
"""Shortest window, seconds; amounts are divided by windows."""

MOST_SHOWN = 100
"""Characters of an invalid value that a finding shows."""


class _Reader:
    """Reads values from nested tables and collects the findings about invalid ones."""

    def __init__(self, file: str, tables: dict[str, Any]):
        self.file = file
        self.tables = tables
        self.findings: list[Finding] = []

    def read(self, section: str, key: str, kind: Any, default: Any = MISSING) -> Any:
        """Read one value.

        Args:
            section: Name of the table; empty for the top level.
            key: Key in the table.
            kind: Type of the value.
            default: Value of a missing key; `MISSING` if the key is required.

        Returns:
            The value; None for an invalid or missing one, which also adds a finding.
        """
        table = self.tables.get(section, {}) if section else self.tables
        value = table.get(key, default) if isinstance(table, dict) else default
        if value is MISSING:
            self.add_finding(section, key, "is required")
            return None
        try:
            return msgspec.convert(value, kind, strict=True)
        except (ValueError, OverflowError, RecursionError) as error:
            self.add_finding(section, key, str(error))
            return None

    def read_number(
        self,
        section: str,
        key: str,
        default: Any = MISSING,
        least: float = 0.0,
        most: float = MOST,
    ) -> float | None:
        """Read a number within bounds; return None if it has a finding."""
        value = self.read(section, key, float, default)
        # What is no number compares as false.
        if value is not None and not least <= value <= most:
            text = f"`{value:g}` is not between {least:g} and {most:g}"
            self.add_finding(section, key, text)
            return None
        return value

    def read_name(self, key: str) -> str | None:
        """Read a name that may be a key of the store; None if it has a finding."""
        name = self.read("", key, str)
        if name is not None and not 0 < len(name.encode()) <= MOST_KEY_BYTES:
            text = f"has to be 1 to {MOST_KEY_BYTES} bytes long"
            self.add_finding("", key, text)
            return None
        return name

    def read_ip(self, key: str) -> str | None:
        """Read an IP number; return None if it has a finding."""
        host = self.read("", key, str)
        if host is not None and not is_ipv4(host):
            self.add_finding("", key, f"`{host[:MOST_SHOWN]}` is no IP number")
            return None
        return host

    def read_ports(self, key: str) -> tuple[int, int] | None:
        """Read the first and the last of some ports; None if they have a finding."""
        ports = self.read("", key, tuple[int, int])
        if ports is not None and not 0 < ports[0] <= ports[1] <= MAX_PORT:
            text = f"are not two ports from 1 to {MAX_PORT}, the lower one first"
            self.add_finding("", key, text)
            return None
        return ports

    def read_address(self, section: str, key: str) -> HostPort | None:
        """Read an address of the form IP:PORT; return None if it has a finding."""
        text = self.read(section, key, str)
        if text is None:
            return None
        host, _, port = text.rpartition(":")
        if not is_ipv4(host) or not _is_port(port):
            shown = text[:MOST_SHOWN]
            self.add_finding(section, key, f"`{shown}` is not IP:PORT")
            return None
        return HostPort(host, int(port))

    def add_finding(self, section: str, key: str, text: str) -> None:
        """Add what is wrong with a value."""
        self.findings.append(Finding(self.file, section, key, 0, text))


def _is_port(text: str) -> bool:
    is_short = 0 < len(text) <= len(str(MAX_PORT))
    return (
        is_short and text.isascii() and text.isdecimal() and 0 < int(text) <= MAX_PORT
    )


def _parse(path: str, text: str) -> dict[str, Any]:
    """Parse the text of a settings file.

    Raises:
        InvalidDocumentError: If it is not valid TOML.
    """
    if any(line.count(".") > MOST_DOTS for line in text.splitlines()):
        fault = f"a line has more than {MOST_DOTS} dots"
        raise InvalidDocumentError([Finding(path, "", "", 0, fault)])
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Numbers with too many digits raise a plain ValueError.
        raise InvalidDocumentError([Finding(path, "", "", 0, str(error))]) from None


def read_gateway_settings(path: str) -> GatewaySettings:
    """Read and check the settings of a gateway.

    Unknown keys are ignored, because the platform may add some.

    Raises:
        InvalidDocumentError: If the settings are invalid; it holds all findings.
    """
    return parse_gateway_settings(path, read_document(path, MOST_BYTES))


def parse_gateway_settings(path: str, text: str) -> GatewaySettings:
    """Check the text of a settings file.

    Args:
        path: The file's name in findings.
        text: What it holds.

    Raises:
        InvalidDocumentError: If the settings are invalid; it holds all findings.
    """
    reader = _Reader(path, _parse(path, text))
    settings = GatewaySettings(
        name=reader.read_name("Node"),
        zone=reader.read_name("Zone"),
        ip=reader.read_ip("Ip"),
        callers=reader.read_address("Listen", "Front"),
        readiness=reader.read_address("Listen", "Ready"),
        store=reader.read_address("Platform", "Address"),
        inner_ports=reader.read_ports("InternalPorts"),
        # The file describes one machine, so its memory limit is that of the process.
        memory_mb=reader.read_number("Limits", "MemoryMb", least=1.0),
        max_descriptors=_read_descriptors(reader),
        pledges=_read_pledges(reader),
        capacity=_read_capacity(reader),
        link_mbps=reader.read_number("Limits", "LinkMbps", 0.0),
        duties=_read_duties(reader),
    )
    if reader.findings:
        raise InvalidDocumentError(reader.findings)
    return settings


def _read_capacity(reader: _Reader) -> float:
    """Read the processor speed of the gateway as a multiple of one full core."""
    # CpuShare is a share of one core; Cores is the speed of that core as a multiple of
    # a full core.
    share = reader.read_number("Limits", "CpuShare", 1.0)
    speed = reader.read_number("Limits", "Cores", 1.0)
    return (share or 1.0) * (speed or 1.0)


def _read_descriptors(reader: _Reader) -> int:
    """Read how many descriptors the process may have open."""
    count = reader.read_number(
        "Limits", "MaxFds", DEFAULT_DESCRIPTORS, least=LEAST_DESCRIPTORS
    )
    return DEFAULT_DESCRIPTORS if count is None else int(count)


def _read_duties(reader: _Reader) -> DutySettings | None:
    names = reader.read("Cloud", "Duties", list[str], [])
    if "usage" not in (names or []):
        return None
    address = reader.read_address("Cloud", "Address")
    window_s = reader.read_number(
        "Bounds", "ReportWindowS", least=LEAST_WINDOW_S, most=MOST_S
    )
    late_s = reader.read_number("Bounds", "UsageLateS", most=MOST_S)
    if address is None or window_s is None or late_s is None:
        return None
    return DutySettings(address, window_s, late_s)


def _read_pledges(reader: _Reader) -> Pledges:
    def read_seconds(key: str, default_ms: float) -> float:
        value = reader.read_number("Bounds", key, default_ms, most=MOST_S * 1000)
        return (default_ms if value is None else value) / 1000

    def read_number(
        key: str, default: float, least: float = 0.0, most: float = MOST
    ) -> float:
        value = reader.read_number("Bounds", key, default, least, most)
        return default if value is None else value

    is_strict = reader.read("Bounds", "RevokeStrict", bool, False)
    return Pledges(
        contact_s=read_seconds("ContactMs", 3000.0),
        # How long a target still serves after it announced that it is leaving.
        leave_s=read_seconds("DrainMs", 2000.0),
        # Time between the request to stop and the kill of the process.
        stop_s=read_number("GraceS", 8.0, most=MOST_S),
        configuration_s=read_seconds("ConfigApplyMs", 2000.0),
        repeat_ratio=read_number("RetryBudgetRatio", 0.2),
        repeat_slack=read_number("RetryBudgetSlack", 0.0),
        repeat_window_s=read_number("BudgetWindowS", 10.0, LEAST_WINDOW_S, MOST_S),
        lease_s=read_seconds("LeaseMs", 3000.0),
        revoke_s=read_seconds("RevokeMs", 0.0) if is_strict else None,
        engines_check_fences=bool(
            reader.read("Bounds", "RequireFence", bool, False) or False
        ),
    )
