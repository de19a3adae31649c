"""The configuration in effect, which several threads read."""

from pathlib import Path

from robinspindle.core import state as states
from robinspindle.core.documents import parse_configuration
from robinspindle.core.records import Published
from robinspindle.core.state import State, read_configuration
from robinspindle.core.statemachine import apply

SAMPLES = Path(__file__).parents[2] / "examples"


class ForgettingCache(dict):
    """A cache in which another thread puts something else after each look."""

    def __contains__(self, text):
        is_found = super().__contains__(text)
        self.clear()
        return is_found

    def get(self, text, default=None):
        found = super().get(text, default)
        self.clear()
        return found


def test_a_configuration_is_read_while_another_thread_reads_an_older_one(monkeypatch):
    """A thread lost what it had found, and the entry's loop ended by it."""
    text = (SAMPLES / "haddad.ini").read_text()
    state = apply(State(), 0, Published(id="p", text=text))
    monkeypatch.setattr(states, "_CACHE", ForgettingCache())
    states._CACHE[text] = parse_configuration(text)
    assert read_configuration(state).fleet.name == "haddad"
    assert read_configuration(state).fleet.name == "haddad"
