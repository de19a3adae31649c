"""Starts a gateway with the platform's settings file."""

from dataclasses import replace

from robinspindle.documentfiles import read_document
from robinspindle.gatewayprocess import run_gateway
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.platform.adapter import PlatformAdapter
from robinspindle.platform.settings import MOST_BYTES as SETTINGS_BYTES
from robinspindle.platform.settings import parse_gateway_settings
from robinspindle.policyfile import MOST_BYTES as POLICY_BYTES
from robinspindle.policyfile import parse_policy
from robinspindle.processsignals import ProcessSignals, hold_signals
from robinspindle.rereading import make_reread


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

    def parse(settings_text: str, policy_text: str) -> GatewaySettings:
        settings = parse_gateway_settings(path, settings_text)
        found = parse_policy(policy_path, policy_text)
        return replace(
            settings,
            metrics_port=metrics_port,
            is_quiet=is_quiet,
            policy=found.policy,
            zone_terms=found.zone_terms,
        )

    def read() -> tuple[str, str]:
        policy_text = read_document(policy_path, POLICY_BYTES) if policy_path else ""
        return read_document(path, SETTINGS_BYTES), policy_text

    reread = make_reread(read, parse)
    return run_gateway(reread, PlatformAdapter(), signals or hold_signals())
