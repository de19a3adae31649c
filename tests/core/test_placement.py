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


def make_flight(target):
    work = Work(request="r", kind="generate", pool="p")
    return ActiveRequest(
        work, deadline=1.0, first_token_deadline=1.0, arrived_at=0.0, target=target
    )


def test_a_target_where_a_request_is_under_way_keeps_its_connection():
    """A target that was added took the place of one among the entry's peers, whose
    connection was closed in the midst of its answers."""
    entry = make_entry(2)
    assert set(find_addresses(entry)) == set(list_peers(entry))
    left_out = sorted(set(entry.state.targets) - set(list_peers(entry)))
    assert left_out
    entry.active_requests["r"] = make_flight(left_out[0])
    assert set(find_addresses(entry)) == {*list_peers(entry), left_out[0]}
    entry.active_requests["r"] = make_flight("")
    assert set(find_addresses(entry)) == set(list_peers(entry))
