"""Starts a gateway with the platform's settings file."""

from dataclasses import replace

from robinspindle.gateway import run_gateway
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.platform.adapter import PlatformAdapter
from robinspindle.platform.settings import read_gateway_settings
from robinspindle.policyfile import PolicyFile, read_policy_file
from robinspindle.processsignals import ProcessSignals, hold_signals


def start_gateway(
    path: str,
    metrics_port: int = 0,
    is_quiet: bool = False,
    policy_path: str = "",
    signals: ProcessSignals | None = None,
) -> int:
    """Run a gateway until it is asked to stop.

    Args:
        path: The settings file.
        metrics_port: Port for metrics, 0 for none.
        is_quiet: Whether the logs leave out lines about success.
        policy_path: The policy file; if empty, all decisions are enabled.
        signals: What holds the process's signals; None where nothing does yet.

    Returns:
        The exit code: 0, also where it is asked to stop before it serves.

    Raises:
        InvalidDocumentError: If the settings or the policy are invalid.
    """

    def reread() -> GatewaySettings:
        settings = read_gateway_settings(path)
        found = read_policy_file(policy_path) if policy_path else PolicyFile()
        return replace(
            settings,
            metrics_port=metrics_port,
            is_quiet=is_quiet,
            policy=found.policy,
            zone_terms=found.zone_terms,
        )

    return run_gateway(reread, PlatformAdapter(), signals or hold_signals())
