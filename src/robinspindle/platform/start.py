"""Starts a gateway with the platform's settings file."""

from robinspindle.gateway import run_gateway
from robinspindle.platform.adapter import PlatformAdapter
from robinspindle.platform.settings import read_gateway_settings


def start_gateway(path: str) -> int:
    """Run a gateway until it is told to stop.

    Args:
        path: The settings file.

    Raises:
        InvalidDocumentError: When the settings have findings.
    """
    run_gateway(read_gateway_settings(path), PlatformAdapter())
    return 0
