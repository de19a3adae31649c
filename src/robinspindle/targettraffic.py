"""What passes between this gateway and one lifetime of a target, on any connection."""

import math
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

    def __init__(
        self,
        target: Target,
        clock: Callable[[], float],
        log: Log,
        count_surplus: Callable[[], None] = lambda: None,
    ):
        """Prepare to take note of a target's answers.

        Args:
            target: The target.
            clock: Tells the present time, steady seconds.
            log: Takes log lines.
            count_surplus: Called for each answer that belongs to no request under way.
        """
        self._target = target
        self._clock = clock
        self._log = log
        self._count_surplus = count_surplus

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

    def note_surplus(self, head: AnswerHead, due_id: str, sent_at: float) -> None:
        """Take note of an answer that does not belong to the request under way.

        Args:
            head: Its head.
            due_id: The id of the request whose answer is due.
            sent_at: When that request was sent, steady seconds; -inf if not known.
        """
        now = self._clock()
        self._count_surplus()
        self._log(
            "surplus answer passed over",
            at=round(now, 4),
            target=self._target.announced.lifetime,
            request=due_id,
            answers=head.request_id,
            status=head.status,
            sent_ago_ms=None if math.isinf(sent_at) else round((now - sent_at) * 1000),
        )

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
    clock: Callable[[], float],
    log: Log,
    count_surplus: Callable[[], None] = lambda: None,
) -> Callable[[Target], TargetTraffic]:
    """Make the function that makes the traffic of each target.

    Args:
        clock: Tells the present time, steady seconds.
        log: Takes log lines.
        count_surplus: Called for each answer that belongs to no request under way.
    """
    return lambda target: TargetTraffic(target, clock, log, count_surplus)
