"""Reads the platform's settings file (TOML) into `GatewaySettings`."""

import tomllib
from typing import Any

import msgspec

from robinspindle.documentfiles import read_document
from robinspindle.exceptions import Finding, InvalidDocumentError
from robinspindle.gatewaysettings import (
    DutySettings,
    GatewaySettings,
    HostPort,
    Pledges,
)

SETTINGS_VARIABLE = "ROBINSPINDLE_CONFIG"

MISSING = object()


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
            self._add_finding(section, key, "is required")
            return None
        try:
            return msgspec.convert(value, kind, strict=True)
        except msgspec.ValidationError as error:
            self._add_finding(section, key, str(error))
            return None

    def read_address(self, section: str, key: str) -> HostPort | None:
        """Read an address of the form IP:PORT; return None if it has a finding."""
        text = self.read(section, key, str)
        if text is None:
            return None
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            self._add_finding(section, key, f"`{text}` is not IP:PORT")
            return None
        return HostPort(host, int(port))

    def _add_finding(self, section: str, key: str, text: str) -> None:
        self.findings.append(Finding(self.file, section, key, 0, text))


def read_gateway_settings(path: str) -> GatewaySettings:
    """Read and check the settings of a gateway.

    Unknown keys are ignored, because the platform may add some.

    Raises:
        InvalidDocumentError: If the settings are invalid; it holds all findings.
    """
    try:
        tables = tomllib.loads(read_document(path))
    except tomllib.TOMLDecodeError as error:
        raise InvalidDocumentError([Finding(path, "", "", 0, str(error))]) from None
    reader = _Reader(path, tables)
    settings = GatewaySettings(
        name=reader.read("", "Node", str),
        zone=reader.read("", "Zone", str),
        ip=reader.read("", "Ip", str),
        callers=reader.read_address("Listen", "Front"),
        readiness=reader.read_address("Listen", "Ready"),
        store=reader.read_address("Platform", "Address"),
        inner_ports=reader.read("", "InternalPorts", tuple[int, int]),
        # The file describes one machine, so its memory limit is that of the process.
        memory_mb=reader.read("Limits", "MemoryMb", float),
        pledges=_read_pledges(reader),
        capacity=_read_capacity(reader),
        link_mbps=reader.read("Limits", "LinkMbps", float, 0.0),
        duties=_read_duties(reader),
    )
    if reader.findings:
        raise InvalidDocumentError(reader.findings)
    return settings


def _read_capacity(reader: _Reader) -> float:
    """Read the processor speed of the gateway as a multiple of one full core."""
    # CpuShare is a share of one core; Cores is the speed of that core as a multiple of
    # a full core.
    share = reader.read("Limits", "CpuShare", float, 1.0)
    speed = reader.read("Limits", "Cores", float, 1.0)
    return (share or 1.0) * (speed or 1.0)


def _read_duties(reader: _Reader) -> DutySettings | None:
    names = reader.read("Cloud", "Duties", list[str], [])
    if "usage" not in (names or []):
        return None
    address = reader.read_address("Cloud", "Address")
    window_s = reader.read("Bounds", "ReportWindowS", float)
    late_s = reader.read("Bounds", "UsageLateS", float)
    if address is None or window_s is None or late_s is None:
        return None
    return DutySettings(address, window_s, late_s)


def _read_pledges(reader: _Reader) -> Pledges:
    def read_seconds(key: str, default_ms: float) -> float:
        value = reader.read("Bounds", key, float, default_ms)
        return (default_ms if value is None else value) / 1000

    def read_number(key: str, default: float) -> float:
        value = reader.read("Bounds", key, float, default)
        return default if value is None else value

    is_strict = reader.read("Bounds", "RevokeStrict", bool, False)
    return Pledges(
        contact_s=read_seconds("ContactMs", 3000.0),
        # How long a target still serves after it announced that it is leaving.
        leave_s=read_seconds("DrainMs", 2000.0),
        # Time between the request to stop and the kill of the process.
        stop_s=read_number("GraceS", 8.0),
        configuration_s=read_seconds("ConfigApplyMs", 2000.0),
        repeat_ratio=read_number("RetryBudgetRatio", 0.2),
        repeat_slack=read_number("RetryBudgetSlack", 0.0),
        repeat_window_s=read_number("BudgetWindowS", 10.0),
        lease_s=read_seconds("LeaseMs", 3000.0),
        revoke_s=read_seconds("RevokeMs", 0.0) if is_strict else None,
        engines_check_fences=bool(
            reader.read("Bounds", "RequireFence", bool, False) or False
        ),
    )
