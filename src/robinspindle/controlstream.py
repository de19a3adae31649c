"""The control stream in a process: folded records, kept for peers too."""

from robinspindle.core import catchup
from robinspindle.core.records import decode_record
from robinspindle.core.state import State
from robinspindle.core.statemachine import apply, restore_state
from robinspindle.exceptions import LogIncompleteError
from robinspindle.logservice import RecordsRead
from robinspindle.messages import Fetch, Records


class ControlStream:
    """The folded state and the last records.

    Attributes:
        state: The folded state.
        is_ready: Whether the log was read to its end once.
        window: Records kept for peers that are cut from the log.
    """

    def __init__(self):
        self.state = State()
        self.is_ready = False
        self.window = catchup.RecordWindow()

    def take_read(self, read: RecordsRead) -> None:
        """Fold records that came from the log."""
        if read.restarts and read.first > self.state.offset + 1:
            self._restart(read)
        else:
            self._fold(read.first, read.records)
        if self.state.offset + 1 >= read.next:
            self.is_ready = True

    def take_records(self, records: Records) -> None:
        """Fold records that came from a peer; a gap is never jumped."""
        if records.first <= self.state.offset + 1:
            self._fold(records.first, records.records)

    def answer_fetch(self, fetch: Fetch) -> Records | None:
        """Answer a peer that is behind."""
        return catchup.make_records(self.window, fetch)

    def _fold(self, first: int, records: tuple[bytes, ...]) -> None:
        for offset, data in enumerate(records, first):
            if offset <= self.state.offset:
                continue
            self.state = apply(self.state, offset, decode_record(data))
            catchup.keep_record(self.window, offset, data)

    def _restart(self, read: RecordsRead) -> None:
        """Begin anew from a checkpoint, after records were trimmed unread."""
        try:
            pairs = list(enumerate(read.records, read.first))
            state = restore_state(pairs, read.first)
        except LogIncompleteError:
            return
        # A checkpoint that covers less than what is known must not turn it back.
        if state.offset > self.state.offset:
            self.state = state
