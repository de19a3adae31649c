"""What passes between this gateway and one lifetime of a target, on any connection."""

from collections.abc import Callable

from robinspindle.core import statements
from robinspindle.core.forwarding import AnswerHead
from robinspindle.core.obstacles import Obstacle, find_send_obstacle
from robinspindle.core.statements import Change, Subject
from robinspindle.core.targets import Target
from robinspindle.logs import Log


class TargetTraffic:
    """Takes note of all answers of one target, and holds back what it does not want.

    It makes no difference what was asked, or what is to be sent.
    """

    def __init__(self, target: Target, clock: Callable[[], float], log: Log):
        """Prepare to take note of a target's answers.

        Args:
            target: The target.
            clock: Tells the present time, steady seconds.
            log: Takes log lines.
        """
        self._target = target
        self._clock = clock
        self._log = log

    def note_head(self, head: AnswerHead, sent_at: float) -> None:
        """Take note of what the head of an answer says of the target.

        Args:
            head: The head.
            sent_at: When the target was sent the request, steady seconds.
        """
        target, now = self._target, self._clock()
        if not statements.is_own(target.announced.lifetime, head):
            return
        for change in statements.note_head(target.stated, head, sent_at, now):
            self._log_change(change, head, now)

    def find_obstacle(self) -> Obstacle | None:
        """Find what keeps anything from being sent to the target now."""
        return find_send_obstacle(self._target, self._clock())

    def _log_change(self, change: Change, head: AnswerHead, now: float) -> None:
        common = {
            "at": round(now, 4),
            "target": self._target.announced.lifetime,
            "request": head.request_id,
        }
        if change.subject is Subject.LIMIT:
            has_limit = change.value is not None
            self._log(
                "target names a limit" if has_limit else "target names no limit",
                per_s=change.value,
                before_per_s=change.before,
                **common,
            )
            return
        self._log(
            "target says of itself",
            subject=change.subject.value,
            seconds=change.value,
            status=head.status,
            **common,
        )


def make_traffic_maker(
    clock: Callable[[], float], log: Log
) -> Callable[[Target], TargetTraffic]:
    """Make the function that makes the traffic of each target.

    Args:
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
    """
    return lambda target: TargetTraffic(target, clock, log)
