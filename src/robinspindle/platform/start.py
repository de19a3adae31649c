"""Starts a gateway with the platform's settings file."""

from dataclasses import replace

from robinspindle.gateway import run_gateway
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.platform.adapter import PlatformAdapter
from robinspindle.platform.settings import read_gateway_settings


def start_gateway(path: str, metrics_port: int = 0, is_quiet: bool = False) -> int:
    """Run a gateway until it is told to stop.

    Args:
        path: The settings file.
        metrics_port: Port for metrics, 0 for none.
        is_quiet: Whether lines about success are left out of the logs.

    Raises:
        InvalidDocumentError: When the settings have findings.
    """

    def reread() -> GatewaySettings:
        settings = read_gateway_settings(path)
        return replace(settings, metrics_port=metrics_port, is_quiet=is_quiet)

    run_gateway(reread, PlatformAdapter())
    return 0
