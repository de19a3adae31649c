"""Starts a gateway with the platform's settings file."""

from dataclasses import replace

from robinspindle.gateway import run_gateway
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.platform.adapter import PlatformAdapter
from robinspindle.platform.settings import read_gateway_settings


def start_gateway(path: str, metrics_port: int = 0) -> int:
    """Run a gateway until it is told to stop.

    Args:
        path: The settings file.
        metrics_port: Port for metrics, 0 for none.

    Raises:
        InvalidDocumentError: When the settings have findings.
    """

    def reread() -> GatewaySettings:
        return replace(read_gateway_settings(path), metrics_port=metrics_port)

    run_gateway(reread, PlatformAdapter())
    return 0
