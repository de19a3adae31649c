from robinspindle.core.targets import Announcement, Target
from robinspindle.zonetraffic import TrafficCause, ZoneTraffic


def make_target(zone):
    return Target(Announcement("1@1", "s", "127.0.0.1:1", zone, 4))


def test_only_bytes_between_two_zones_are_counted():
    traffic = ZoneTraffic("a")
    traffic.note(TrafficCause.NEWS, "a", 100)
    traffic.note(TrafficCause.NEWS, "b", 30)
    traffic.note_between(TrafficCause.MEMORY, "b", "b", 5000)
    traffic.note_between(TrafficCause.MEMORY, "b", "c", 7000)
    assert traffic.counts == {TrafficCause.NEWS: 30, TrafficCause.MEMORY: 7000}


def test_targets_of_the_own_zone_have_no_meter():
    traffic = ZoneTraffic("a")
    assert traffic.make_meter(make_target("a")) is None
    meter = traffic.make_meter(make_target("b"))
    meter.note_sent(12)
    meter.note_received(800)
    assert traffic.counts[TrafficCause.REQUESTS] == 12
    assert traffic.counts[TrafficCause.ANSWERS] == 800


def test_the_counts_are_logged_now_and_then_with_every_cause():
    lines = []

    def log(text, **fields):
        lines.append((text, fields))

    traffic = ZoneTraffic("a")
    traffic.note(TrafficCause.NEWS, "b", 30)
    for now in (1.0, 2.0, 6.5, 7.0):
        traffic.log_if_due(log, now, store_bytes=9)
    assert [text for text, _ in lines] == ["traffic between zones"]
    fields = lines[0][1]
    assert fields["news_bytes"] == 30 and fields["requests_bytes"] == 0
    assert fields["store_bytes"] == 9
