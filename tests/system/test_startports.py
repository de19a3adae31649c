"""Ports that another process holds as a real gateway process starts."""

import asyncio
import contextlib
import socket

import pytest

from tests.system.gatewayprocess import hold_port, prepare

HELD_S = 2.0

TCP, UDP = socket.SOCK_STREAM, socket.SOCK_DGRAM
PORTS = [("front", TCP), ("ready", TCP), ("metrics", TCP), ("inner", UDP)]
PORTS += [("last", UDP)]


@pytest.mark.parametrize(("name", "kind"), PORTS)
def test_a_port_that_is_held_at_the_start_is_waited_for(name, kind, tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            with contextlib.closing(hold_port(getattr(gateway, name), kind)):
                await gateway.start()
                if name not in ("front", "ready"):
                    await gateway.wait_served()
                else:
                    await asyncio.sleep(HELD_S)
                    assert gateway.process.returncode is None, gateway.log
                    assert not await gateway.is_ready()
                if name == "ready":
                    assert await gateway.call() == 200
                await gateway.wait_logged("port can't be opened yet")
                if name != "metrics":
                    assert await gateway.ask(gateway.metrics, "/metrics") == 200
            await gateway.wait_served()

            await gateway.wait_logged('"text":"port opened"')
            assert await gateway.ask(gateway.metrics, "/metrics") == 200
            assert await gateway.end() == 0

    asyncio.run(scenario())


def test_a_gateway_that_waits_for_ports_is_ready_with_the_store_it_followed(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            with contextlib.closing(hold_port(gateway.front)):
                await gateway.start()

                await gateway.wait_logged('"text":"target announced"')
                assert not await gateway.is_ready()
            await gateway.wait_served()
            await gateway.end()

    asyncio.run(scenario())


def test_a_stop_while_ports_are_held_ends_with_0(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            with contextlib.closing(hold_port(gateway.front)):
                await gateway.start()

                await gateway.wait_logged('"text":"started"')
                assert await gateway.end() == 0

    asyncio.run(scenario())


def test_a_second_process_waits_until_the_first_has_gone(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            await gateway.start()
            await gateway.wait_served()
            first = gateway.process
            await gateway.start()
            await asyncio.sleep(HELD_S)
            assert gateway.process.returncode is None
            assert await gateway.call() == 200
            introduced = gateway.store.calls.count("POST /append")
            first.terminate()
            assert await first.wait() == 0
            await gateway.wait_served()
            assert gateway.store.calls.count("POST /append") >= introduced
            assert await gateway.end() == 0

    asyncio.run(scenario())
