"""Log lines on crashes and on what causes them, and names of causes for operators."""

from robinspindle.core import crashes
from robinspindle.core.causes import Cause
from robinspindle.core.fingerprints import Fingerprint, FingerprintedRequest
from robinspindle.core.forwarding import Prompt
from robinspindle.core.quarantine import Entry
from robinspindle.crashwatch import Run
from robinspindle.logs import Log

MAX_LOGGED_PARTS = 16
MAX_LOGGED_ID = 40
"""Maximum number of prompt parts, and characters of each id, in a log line."""


class CrashLog:
    """Tells operators what one gateway saw of crashes, and what it decides.

    Only hashes of requests and parts are kept elsewhere. Names are known of what this
    gateway saw running at crashes.
    """

    def __init__(self, log: Log):
        self._log = log
        self._names: dict[Fingerprint, str] = {}

    def has_seen(self, fingerprint: Fingerprint) -> bool:
        """Whether this gateway saw it running at a crash."""
        return fingerprint in self._names

    def find_name(self, cause: Cause) -> str:
        """Find the names of all that a cause consists of; empty if none is known."""
        names = (self._names.get(one, "") for one in sorted(cause.members))
        return " with ".join(name for name in names if name)

    def keep_names(self, named: FingerprintedRequest) -> None:
        """Keep the names of a request and of its parts, which ran at a crash."""
        request = named.request
        self._names[named.fingerprint] = f"{request.host}{request.path}"
        for part, id in named.part_ids.items():
            model = request.prompt.model[:MAX_LOGGED_ID]
            self._names[part] = f"part {id[:MAX_LOGGED_ID]} of prompts for {model}"
        while len(self._names) > crashes.MAX_SUSPECTS:
            del self._names[next(iter(self._names))]

    def log_crash(self, run: Run, at: float, crashes_met: int) -> None:
        """Log that a target crashed under a run.

        Args:
            run: The run.
            at: When the crash was detected, monotonic seconds.
            crashes_met: Number of crashes at which its request was running.
        """
        named = run.named
        self._log(
            "target crashed under a request",
            at=round(at, 4),
            target=run.target.announced.lifetime,
            request=named.request.id,
            fingerprint=named.fingerprint.hex(),
            ran_ms=round((at - run.since) * 1000),
            wrote_ms=_find_ms_since(run.began_at, at),
            parts=_list_shared_ids(named.request.prompt),
            crashes_met=crashes_met,
        )

    def log_entry(self, entry: Entry, why: str) -> None:
        """Log an entry of the quarantine, and why there is one."""
        self._log(
            "request " + entry.standing.value,
            fingerprint=entry.fingerprint.hex(),
            companions=sorted(one.hex() for one in entry.companions),
            why=why,
            name=entry.name,
            crashed=list(entry.lifetimes),
            trials=entry.trials,
        )


def _find_ms_since(since: float | None, at: float) -> int | None:
    return None if since is None else round((at - since) * 1000)


def _list_shared_ids(prompt: Prompt | None) -> list[str]:
    """List the ids of the parts that a prompt may share with others, shortened."""
    if prompt is None:
        return []
    return [part.id[:MAX_LOGGED_ID] for part in prompt.parts[:-1][:MAX_LOGGED_PARTS]]
