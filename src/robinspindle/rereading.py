"""Reads a process's settings again, while it runs."""

from collections.abc import Callable

from robinspindle.exceptions import InvalidDocumentError
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.logs import Log

REREAD_S = 1.0
"""Interval at which the settings are read again, seconds: they may change without a
signal, and reading them takes less than a millisecond."""

Reread = Callable[[], GatewaySettings]


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
            settings = self._reread()
        except InvalidDocumentError as error:
            self._note_bad(str(error))
            return
        self._told_findings = ""
        if settings == self.settings:
            return
        self.settings = settings
        self._apply(settings)
        self._log("settings in force", name=settings.name)

    def _note_bad(self, findings: str) -> None:
        """Log findings once, as the file is read each second."""
        if findings != self._told_findings:
            self._told_findings = findings
            self._log("settings can't be read, the last ones stay", findings=findings)
