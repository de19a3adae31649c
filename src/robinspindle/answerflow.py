"""The flow of one answer from its target to a caller that may read slowly."""

from robinspindle.core import heldbytes
from robinspindle.core.heldbytes import Holding
from robinspindle.core.silence import ExpectedResponse
from robinspindle.httpclient import ClientConnection
from robinspindle.passages import Means, Passage


class AnswerFlow:
    """Counts what a slow caller has not taken, and holds its target back if need be.

    What is left when the target is done stays counted until the caller has taken it.
    """

    def __init__(
        self,
        means: Means,
        passage: Passage,
        target: str,
        connection: ClientConnection,
        expected: ExpectedResponse,
    ):
        workspace = passage.permit.workspace
        self._means = means
        self._passage = passage
        self._connection = connection
        self._expected = expected
        self._holding = Holding(workspace.name if workspace else "", target)
        self._is_slow = False
        self._is_waiting = False
        self._has_connection = True

    def begin(self) -> None:
        """Begin to count, as the caller takes bytes too slowly."""
        self._is_slow = True
        self.note_written()

    def note_written(self) -> None:
        """Count what the caller has not taken, and hold the target back if need be."""
        if not self._is_slow:
            return
        held, unsent = self._means.held, self._passage.reply.unsent_bytes
        heldbytes.note_held(held, self._holding, unsent)
        may_wait = self._has_connection and not self._is_waiting
        if may_wait and heldbytes.must_wait(held, self._holding):
            self._wait()

    def go_on(self) -> None:
        """Let the target go on, as the caller has taken what was held or has left."""
        self._is_slow = False
        heldbytes.note_held(self._means.held, self._holding, 0)
        self._end_wait()

    def leave_connection(self) -> None:
        """Read the connection on, and never hold it back again.

        Its next answer belongs to another request.
        """
        self._has_connection = False
        self._end_wait()

    def _end_wait(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            self._expected.is_held = False
            self._expected.since = self._means.clock()
            self._connection.resume()

    def _wait(self) -> None:
        self._is_waiting = True
        self._expected.is_held = True
        self._connection.pause()
        held = self._means.held
        held.waits += 1
        self._means.log(
            "target held back",
            at=round(self._means.clock(), 4),
            request=self._passage.request.id,
            workspace=self._holding.workspace,
            target=self._holding.target,
            held_bytes=self._holding.bytes,
            workspace_bytes=held.by_workspace[self._holding.workspace],
            total_bytes=held.total,
            most_bytes=round(held.max_bytes),
        )
