"""Which targets a request may go to."""

import random
from types import SimpleNamespace

from robinspindle.choosing import Chooser
from robinspindle.core.routes import Backend, Route
from robinspindle.core.streamversions import StreamBinding
from robinspindle.core.targets import Announcement, Directory, apply_announcement
from robinspindle.fleet import Fleet
from robinspindle.platform.dialect import decode_answer

ROUTE = Route(
    "digest", "h", "/digest/", "stream", 5.0, 1.0,
    backends=(Backend("lm"),), resumable=True,
)  # fmt: skip


class Versions:
    """Knows at which targets streams may begin.

    Attributes:
        asked: The services of the targets that it was asked for.
    """

    def __init__(self, begins):
        self.asked = set()
        self._begins = begins

    def may_begin(self, announced):
        self.asked.add(announced.service)
        return announced.lifetime in self._begins


def test_a_stream_begins_where_it_may_and_only_its_service_is_asked_for():
    fleet = Fleet(Directory(), decode_answer)
    for lifetime, service in [("i1", "lm"), ("i2", "lm"), ("i3", "other")]:
        announced = Announcement(lifetime, service, "127.0.0.1:1", "a", 1)
        apply_announcement(fleet.directory, announced, 0.0)
    versions = Versions({"i2"})
    guard = SimpleNamespace(list_avoided=lambda named: set())
    means = SimpleNamespace(fleet=fleet, guard=guard, versions=versions)
    passage = SimpleNamespace(
        stream=StreamBinding(), route=ROUTE, service="lm", tried=set(), named=None
    )
    chooser = Chooser(means, random.Random(1))
    assert chooser.has_target(passage, 0.0)
    assert versions.asked == {"lm"}
    passage.tried.add("i2")
    assert not chooser.has_target(passage, 0.0)
