from types import SimpleNamespace

from robinspindle.core.events import EventSplitter
from robinspindle.core.forwarding import CacheSource, Prompt
from robinspindle.core.priorities import LATE_LEVEL, REQUEST_PRIORITIES, find_rank_level
from robinspindle.sending import Sending, make_send

READ = CacheSource("10.0.0.1:80", "h")


def send(level, source):
    announced = SimpleNamespace(lifetime="d1", address="10.0.0.2:80")
    passage = SimpleNamespace(
        request=SimpleNamespace(prompt=Prompt("m", (), 100, 100)),
        rank=1,
        plan=SimpleNamespace(level=level),
        splitter=EventSplitter(),
        due=2.0,
    )
    target = SimpleNamespace(announced=announced)
    return make_send(passage, Sending(target, source), 1.0).priority


def test_what_was_read_is_generated_by_its_rank_however_late():
    """Prompts that had been read waited 0.2 to 1.7 s at their hosts behind all that
    came meanwhile, until their callers left: 328 on one day of overload."""
    assert send(LATE_LEVEL, READ) == REQUEST_PRIORITIES[find_rank_level(1)]
    assert send(LATE_LEVEL, None) == REQUEST_PRIORITIES[LATE_LEVEL]
    assert send(0, READ) == REQUEST_PRIORITIES[0]
