"""Standard output and errors that nobody reads, and few descriptors, on processes."""

import asyncio
import os
import resource
import signal

import pytest

from standins.rawhttp import LOOPBACK
from tests.system.gatewayprocess import ROOT, prepare

FEW = 60
"""Descriptors of a process that gets few."""

BURST = 100


def close_output():
    os.close(1)
    os.close(2)


def close_all():
    for descriptor in (0, 1, 2):
        os.close(descriptor)


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (FEW, FEW))


async def check_serving(gateway):
    await gateway.wait_served()
    for number in range(20):
        assert await gateway.call(f"r{number}") == 200
        gateway.send(signal.SIGHUP)
    await asyncio.sleep(0.5)
    assert await gateway.call("last") == 200
    assert await gateway.end() == 0


@pytest.mark.parametrize("close", [close_output, close_all])
def test_closed_standard_descriptors_are_borne(close, tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            await gateway.start(preexec_fn=close)
            await check_serving(gateway)

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", ["reader-gone", "never-read", "full"])
def test_output_that_takes_nothing_is_borne(kind, tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            if kind == "full":
                reader, writer = None, os.open("/dev/full", os.O_WRONLY)
            else:
                reader, writer = os.pipe()
                if kind == "never-read":
                    os.set_blocking(writer, False)
                    with pytest.raises(BlockingIOError):
                        while True:
                            os.write(writer, bytes(4096))
                    os.set_blocking(writer, True)
            await gateway.start(stdout=writer, stderr=writer)
            os.close(writer)
            if kind == "reader-gone":
                os.close(reader)
            await check_serving(gateway)
            if kind == "never-read":
                os.close(reader)

    asyncio.run(scenario())


def test_connections_beyond_the_descriptors_end_nothing_and_are_taken_later(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            await gateway.start(preexec_fn=limit_descriptors)
            await gateway.wait_served()
            opened = [
                await asyncio.open_connection(LOOPBACK, gateway.front)
                for _ in range(BURST)
            ]
            await gateway.wait_logged('"text":"callers gave way"')
            gateway.send(signal.SIGHUP)
            await asyncio.sleep(0.5)
            assert gateway.process.returncode is None
            await gateway.wait_served()
            for _, writer in opened:
                writer.close()
            await gateway.wait_served()
            gateway.write_settings(
                gateway.settings.read_text().replace("DrainMs = 2000", "DrainMs = 2100")
            )
            await gateway.wait_logged('"text":"settings in force"')
            assert gateway.log.count("out of system resource") == 0
            assert gateway.log.count("unexpected error") == 0
            assert await gateway.end() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("trouble", ["busy", "reset", "silent", "stalls"])
def test_a_store_in_trouble_at_the_start_is_waited_for(trouble, tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            gateway.store.trouble = trouble
            await gateway.start()
            await gateway.wait_logged('"text":"store call failed"')
            assert not await gateway.is_ready()
            gateway.store.trouble = ""
            gateway.store.server.reset_all()
            await gateway.wait_served()
            assert await gateway.end() == 0

    asyncio.run(scenario())


def test_the_build_is_repeated_for_another_kind_of_machine():
    text = (ROOT / "deploy" / "system.toml").read_text()
    assert "$(uname -m)" in text
