"""A gateway whose tasks meet errors nobody foresaw."""

from robinspindle import gateway
from standins.replica import Replica
from tests.platform.deployment import deploy, join, run, until


def fail_at_first(d, topic, times):
    """Have the records of a topic raise so often; returns the errors that did."""
    follower = next(f for f in d.gateway._followers if f.topic == topic)
    apply, raised = follower.apply, []

    def fail(key, value):
        if len(raised) < times:
            raised.append(key)
            raise ZeroDivisionError(key)
        apply(key, value)

    follower.apply = fail
    return raised


def test_a_record_that_raises_ends_neither_the_process_nor_its_following(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            raised = fail_at_first(d, "keyed.servers", 2)
            await d.add("i2")
            assert len(raised) == 2
            assert d.gateway.directory.unavailable_since is None
            assert (await d.call("/safe/x")).status == 200
            failures = d.gateway.metrics.failures.labels("follow keyed.servers")
            assert failures._value.get() == 2

    run(scenario())


def test_what_vanished_beside_a_failure_is_dropped(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            for id in ("i1", "i2", "i3"):
                await d.add(id)
            raised = fail_at_first(d, "keyed.servers", 1)
            replica = Replica("i4", "push", "")
            await replica.server.start()
            d.replicas["i4"] = replica
            await d.store.put("keyed.servers", "i4", replica.describe())
            d.store.drop_silently("keyed.servers", "i2")
            await until(lambda: d.knows("i4"))
            assert raised
            await until(lambda: d.gateway.directory.targets["i2"].gone_at is not None)
            assert d.gateway.directory.targets["i1"].gone_at is None

    run(scenario())


def test_one_that_fails_to_read_on_is_unready_only_where_others_do_better(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d, join(tmp_path, d) as other:
            await d.add("i1")
            apply = d.gateway._followers[-1].apply
            fail_at_first(d, "keyed.servers", 1000)
            replica = d.replicas["i1"]
            await d.store.put("keyed.servers", "i1", replica.describe())
            await until(lambda: not d.gateway.is_ready)
            assert (await d.call("/safe/x")).status == 200
            await other.gateway.close()
            await until(lambda: d.gateway.is_ready)
            d.gateway._followers[-1].apply = apply

    run(scenario())


def test_one_that_fails_for_long_where_others_do_better_stops_as_asked(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(gateway, "HOPELESS_AFTER_S", 1.0)

    async def scenario():
        async with deploy(tmp_path) as d, join(tmp_path, d) as other:
            await d.add("i1")
            fail_at_first(d, "keyed.servers", 1000)
            await d.store.put("keyed.servers", "i1", d.replicas["i1"].describe())
            await until(lambda: d.gateway._stop.has_begun)
            assert d.gateway._has_failed
            # What comes before the balancer sends callers elsewhere is served.
            assert (await d.call("/safe/x")).status == 200
            assert not other.gateway._stop.has_begun

    run(scenario())
