"""Orders to engines of two software versions, from a gateway to stand-ins."""

import json
import re

from robinspindle.core.rebalancing import PrefillDemand
from standins.replica import USUAL_VERSION, Replica
from tests.platform.deployment import deploy, run, until

OTHER_VERSION = "v2"


async def add(d, lifetime, role, version=USUAL_VERSION):
    """Add an engine of a software version."""
    replica = Replica(lifetime, "lm", role)
    replica.software_version = version
    await replica.server.start()
    d.replicas[lifetime] = replica
    await d.announce(replica)
    return replica


async def give_role(d, replica, role):
    """Have an engine take a role, as one does that was ordered to."""
    replica.role = role
    await d.announce(replica)
    target = d.gateway.directory.targets[replica.lifetime]
    await until(lambda: target.announced.role == role)


def list_ordered(d, role):
    """List the engines that were ordered to take a role."""
    return [
        replica
        for replica in d.replicas.values()
        if any(json.loads(order.body)["Stage"] == role for order in replica.orders)
    ]


def list_ids(reply):
    return [int(id) for id in re.findall(rb"^id: (\d+)\n.*\n\n", reply.body, re.M)]


def test_a_stream_goes_on_after_all_engines_of_its_version_were_to_prefill(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.configure(version=2, attempts=1)
            engines = [await add(d, name, "decode") for name in ("a1", "a2")]
            for engine in engines:
                engine.behaviours.append("torn")
            broken = await d.call("/digest/x", **d.prompt())
            assert (broken.is_whole, list_ids(broken)) == (False, [1])
            for number in range(3):
                await add(d, f"b{number}", "decode", OTHER_VERSION)
            for engine in engines:
                engine.behaviours.clear()
                await give_role(d, engine, "prefill")
            await until(lambda: list_ordered(d, "decode"))
            (ordered,) = list_ordered(d, "decode")
            assert ordered in engines
            await give_role(d, ordered, "decode")
            resumed = {"Last-Event-Id": "1", "Resumes": "r1"}
            reply = await d.call("/digest/x", id="r2", **d.prompt(), **resumed)
            assert (reply.is_whole, list_ids(reply)) == (True, [2, 3])

    run(scenario())


def test_the_last_engine_of_a_version_that_generates_is_not_to_prefill(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            # The first of several that have equally little to do would be taken.
            await add(d, "a1", "decode", OTHER_VERSION)
            await add(d, "b0", "prefill")
            for number in (1, 2, 3):
                await add(d, f"b{number}", "decode")
            demand = PrefillDemand(seconds=1e4, at=d.gateway.orderer.now)
            d.gateway.relay.chooser.demands["lm"] = demand
            await until(lambda: list_ordered(d, "prefill"))
            (ordered,) = list_ordered(d, "prefill")
            assert ordered.software_version == USUAL_VERSION

    run(scenario())
