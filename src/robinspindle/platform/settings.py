"""Reads the platform's settings file (TOML) into `GatewaySettings`."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

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
    """Takes values from nested tables and collects what is wrong with them."""

    def __init__(self, file: str, tables: dict[str, Any]):
        self.file = file
        self.tables = tables
        self.findings: list[Finding] = []

    def take(self, section: str, key: str, kind: Any, default: Any = MISSING) -> Any:
        """Take one value; a bad or missing one becomes a finding."""
        table = self.tables.get(section, {}) if section else self.tables
        value = table.get(key, default) if isinstance(table, dict) else default
        if value is MISSING:
            self._find(section, key, "is required")
            return None
        try:
            return msgspec.convert(value, kind, strict=True)
        except msgspec.ValidationError as error:
            self._find(section, key, str(error))
            return None

    def take_address(self, section: str, key: str) -> HostPort | None:
        """Take an address of the form IP:PORT."""
        text = self.take(section, key, str)
        if text is None:
            return None
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            self._find(section, key, f"`{text}` is not IP:PORT")
            return None
        return HostPort(host, int(port))

    def _find(self, section: str, key: str, text: str) -> None:
        self.findings.append(Finding(self.file, section, key, 0, text))


def read_gateway_settings(path: str) -> GatewaySettings:
    """Read and check the settings of a gateway.

    Unknown fields are ignored, as the platform may add some.

    Raises:
        InvalidDocumentError: With every finding, when there is any.
    """
    try:
        tables = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidDocumentError([Finding(path, "", "", 0, str(error))]) from None
    reader = _Reader(path, tables)
    settings = GatewaySettings(
        name=reader.take("", "Node", str),
        zone=reader.take("", "Zone", str),
        ip=reader.take("", "Ip", str),
        callers=reader.take_address("Listen", "Front"),
        readiness=reader.take_address("Listen", "Ready"),
        store=reader.take_address("Platform", "Address"),
        inner_ports=reader.take("", "InternalPorts", tuple[int, int]),
        # The whole settings file is one machine's, so the limit is the process's.
        memory_mb=reader.take("Limits", "MemoryMb", float),
        pledges=_read_pledges(reader),
        capacity=_read_capacity(reader),
        duties=_read_duties(reader),
    )
    if reader.findings:
        raise InvalidDocumentError(reader.findings)
    return settings


def _read_capacity(reader: _Reader) -> float:
    # A share of one core that runs so many times as fast as one.
    share = reader.take("Limits", "CpuShare", float, 1.0)
    speed = reader.take("Limits", "Cores", float, 1.0)
    return (share or 1.0) * (speed or 1.0)


def _read_duties(reader: _Reader) -> DutySettings | None:
    names = reader.take("Cloud", "Duties", list[str], [])
    if "usage" not in (names or []):
        return None
    address = reader.take_address("Cloud", "Address")
    window_s = reader.take("Bounds", "ReportWindowS", float)
    late_s = reader.take("Bounds", "UsageLateS", float)
    if address is None or window_s is None or late_s is None:
        return None
    return DutySettings(address, window_s, late_s)


def _read_pledges(reader: _Reader) -> Pledges:
    def seconds(key: str, default_ms: float) -> float:
        value = reader.take("Bounds", key, float, default_ms)
        return (default_ms if value is None else value) / 1000

    def number(key: str, default: float) -> float:
        value = reader.take("Bounds", key, float, default)
        return default if value is None else value

    is_strict = reader.take("Bounds", "RevokeStrict", bool, False)
    return Pledges(
        # How long a target serves on after it said that it leaves.
        leave_s=seconds("DrainMs", 2000.0),
        # Time between the request to stop and the kill.
        stop_s=number("GraceS", 8.0),
        configuration_s=seconds("ConfigApplyMs", 2000.0),
        repeat_ratio=number("RetryBudgetRatio", 0.2),
        repeat_slack=number("RetryBudgetSlack", 0.0),
        repeat_window_s=number("BudgetWindowS", 10.0),
        lease_s=seconds("LeaseMs", 3000.0),
        revoke_s=seconds("RevokeMs", 0.0) if is_strict else None,
        engines_check_fences=bool(
            reader.take("Bounds", "RequireFence", bool, False) or False
        ),
    )
