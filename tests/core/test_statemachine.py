"""The replicated state machine: invalid records and duplicates change nothing."""

from pathlib import Path

from robinspindle.core.records import Published
from robinspindle.core.state import State
from robinspindle.core.statemachine import apply

SAMPLES = Path(__file__).parents[2] / "examples"


def test_invalid_document_is_rejected_with_findings():
    text = (SAMPLES / "haddad.ini").read_text()
    state = apply(State(), 0, Published(id="a", text=text))
    state = apply(state, 1, Published(id="b", text="[fleet]\nnmae = x\n"))
    assert state.version == 0
    assert state.text == text
    assert any("did you mean `name`" in finding for finding in state.rejected)


def test_duplicate_record_changes_nothing():
    text = (SAMPLES / "franchise.ini").read_text()
    state = apply(State(), 0, Published(id="a", text=text))
    again = apply(state, 1, Published(id="a", text="[fleet]\nname = other\n"))
    assert again.version == 0
    assert len(again.targets) == 9
