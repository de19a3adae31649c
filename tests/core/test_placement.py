import random
from pathlib import Path

from robinspindle.core.activerequests import ActiveRequest, Dispatcher
from robinspindle.core.placement import find_addresses, list_peers
from robinspindle.core.records import Published
from robinspindle.core.state import State
from robinspindle.core.statemachine import apply
from robinspindle.messages import Work

SAMPLE = Path(__file__).parents[2] / "examples" / "haddad.ini"


def make_entry(subset):
    text = SAMPLE.read_text().replace("[fleet]", f"[fleet]\nsubset = {subset}")
    state = apply(State(), 0, Published(id="publish", text=text))
    return Dispatcher("entry-1", "a", random.Random(1), state=state)


def make_active_request(target):
    work = Work(request="r", kind="generate", pool="p")
    return ActiveRequest(
        work, deadline=1.0, first_token_deadline=1.0, arrived_at=0.0, target=target
    )


def test_a_target_with_an_active_request_keeps_its_connection():
    """When a target was added, it replaced another one among the entry's peers, and the
    connection to that one was closed during its answers."""
    entry = make_entry(2)
    assert set(find_addresses(entry)) == set(list_peers(entry))
    left_out = sorted(set(entry.state.targets) - set(list_peers(entry)))
    assert left_out
    entry.active_requests["r"] = make_active_request(left_out[0])
    assert set(find_addresses(entry)) == {*list_peers(entry), left_out[0]}
    entry.active_requests["r"] = make_active_request("")
    assert set(find_addresses(entry)) == set(list_peers(entry))
