"""Reads a process's settings again, while it runs."""

from collections.abc import Callable
from dataclasses import replace

from robinspindle.exceptions import InvalidDocumentError
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.logs import Log

REREAD_S = 1.0
"""Interval at which the settings are read again, seconds: they may change without a
signal, and reading them takes less than a millisecond."""

MOST_FINDINGS_CHARACTERS = 2000
"""Characters of findings that a log line holds."""

Reread = Callable[[], GatewaySettings]


def make_reread(
    read: Callable[[], tuple[str, ...]], parse: Callable[..., GatewaySettings]
) -> Reread:
    """Make what reads the settings, and parses them only where they have changed.

    Args:
        read: Reads the text of each file.
        parse: Checks these texts; raises `InvalidDocumentError` for findings.
    """
    texts: tuple[str, ...] | None = None
    outcome: GatewaySettings | InvalidDocumentError | None = None

    def reread() -> GatewaySettings:
        nonlocal texts, outcome
        found = read()
        if found != texts:
            try:
                outcome = parse(*found)
            except InvalidDocumentError as error:
                outcome = error
            texts = found
        if isinstance(outcome, InvalidDocumentError):
            raise outcome.with_traceback(None)
        return outcome

    return reread


def keep_identity(
    settings: GatewaySettings, started: GatewaySettings
) -> GatewaySettings:
    """Keep what comes into force at the next start only: names and addresses.

    Args:
        settings: What was read.
        started: The settings at the start.
    """
    return replace(
        settings,
        name=started.name,
        zone=started.zone,
        ip=started.ip,
        callers=started.callers,
        readiness=started.readiness,
        store=started.store,
        inner_ports=started.inner_ports,
    )


class SettingsReader:
    """Reads the settings again; bad ones change nothing.

    Attributes:
        settings: The settings in force.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reread: Reread,
        apply: Callable[[GatewaySettings], None],
        now: float,
        log: Log,
    ):
        """Take over settings that were just read.

        Args:
            settings: The settings.
            reread: Reads them again.
            apply: Puts what follows from them in force.
            now: The present time, steady seconds.
            log: Takes log lines.
        """
        self.settings = settings
        self._reread = reread
        self._apply = apply
        self._read_at = now
        self._log = log
        self._told_findings = ""

    def read_if_due(self, now: float) -> None:
        """Read the settings if the last time is long enough ago."""
        if now - self._read_at >= REREAD_S:
            self.read(now)

    def read(self, now: float) -> None:
        """Read the settings, and put them in force where they changed.

        What was promised comes into force at once; addresses do at the next start.
        """
        self._read_at = now
        try:
            settings = keep_identity(self._reread(), self.settings)
            if settings != self.settings:
                self._put_in_force(settings)
        except InvalidDocumentError as error:
            self._note_bad(str(error))
        except Exception as error:
            # Nothing in a file may end or change what runs.
            self._note_bad(f"unexpected: {error!r}")
        else:
            self._told_findings = ""

    def _put_in_force(self, settings: GatewaySettings) -> None:
        try:
            self._apply(settings)
        except Exception:
            self._apply(self.settings)
            raise
        self.settings = settings
        self._log("settings in force", name=settings.name)

    def _note_bad(self, findings: str) -> None:
        """Log findings once, as the file is read each second."""
        findings = findings[:MOST_FINDINGS_CHARACTERS]
        if findings != self._told_findings:
            self._told_findings = findings
            self._log("settings can't be read, the last ones stay", findings=findings)
