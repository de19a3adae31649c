"""Real gateway processes whose settings are spoiled at their start and later."""

import asyncio
import itertools
import json
import os
import shutil
import signal

from tests.odddocuments import DEEP
from tests.system.gatewayprocess import prepare

ALONE_S = 1.3
"""Longer than it takes until the file is read again without a signal, seconds."""


def list_findings(gateway):
    """List what was logged of settings that can't be read, in its order."""
    lines = [json.loads(line) for line in gateway.log.splitlines()]
    return [line["findings"] for line in lines if "findings" in line]


def remove(path):
    if path.is_dir():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


def spoil(gateway, good, kind):
    path = gateway.settings
    remove(path)
    texts = {
        "empty": "",
        "halved": good[: len(good) // 2],
        "nested": good.replace("LinkMbps = 1000.0", f"LinkMbps = {'[' * DEEP}"),
        "digits": good.replace("DrainMs = 2000", f"DrainMs = {'9' * DEEP}"),
        "port": good.replace(f":{gateway.front}", f":{'9' * DEEP}"),
        "dots": good + "x" + ".x" * 30_000 + " = 1\n",
        "infinite": good.replace("GraceS = 4", "GraceS = inf"),
        "none": good.replace("GraceS = 4", "GraceS = nan"),
        "huge": good + "#" * 10_000_000,
    }
    if kind in texts:
        path.write_text(texts[kind])
    elif kind == "bytes":
        path.write_bytes(good.encode() + b"\xff")
    elif kind == "folder":
        path.mkdir()
    elif kind == "pipe":
        os.mkfifo(path)


KINDS = ["empty", "halved", "nested", "digits", "port", "dots", "infinite", "none"]
KINDS += ["huge", "bytes", "folder", "pipe", "missing"]


def test_spoiled_settings_end_no_process_and_are_logged_once(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            good = gateway.settings.read_text()
            await gateway.start()
            await gateway.wait_served()
            for number, kind in enumerate(KINDS):
                spoil(gateway, good, kind)
                for _ in range(3):
                    gateway.send(signal.SIGHUP)
                    await asyncio.sleep(0.1)
                if number % 4 == 0:
                    await asyncio.sleep(ALONE_S)
                assert await gateway.call(f"r{number}") == 200, gateway.log[-500:]
                findings = list_findings(gateway)
                assert len(findings) > number, kind
                # The file is missing for a moment where one kind follows another.
                assert all(a != b for a, b in itertools.pairwise(findings))
            remove(gateway.settings)
            gateway.settings.write_text(
                good.replace("DrainMs = 2000", "DrainMs = 2100")
            )

            await gateway.wait_logged('"text":"settings in force"')
            assert await gateway.end() == 0

    asyncio.run(scenario())


def test_a_start_with_spoiled_settings_ends_with_findings(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            good = gateway.settings.read_text()
            for kind in KINDS:
                spoil(gateway, good, kind)
                await gateway.start()
                assert await gateway.wait() == 1, kind
                assert "settings.toml" in gateway.log, kind
                assert "Traceback" not in gateway.log, gateway.log
                (tmp_path / "log").unlink()

    asyncio.run(scenario())


def test_a_file_that_changes_all_the_time_between_good_and_bad_is_borne(tmp_path):
    async def scenario():
        async with prepare(tmp_path) as gateway:
            good = gateway.settings.read_text()
            await gateway.start()
            await gateway.wait_served()
            for number in range(60):
                kind = KINDS[number % 9]
                if number % 2:
                    spoil(gateway, good, kind)
                else:
                    remove(gateway.settings)
                    gateway.settings.write_text(good)
                gateway.send(signal.SIGHUP)
                await asyncio.sleep(0.02)
            assert await gateway.call() == 200
            assert await gateway.end() == 0

    asyncio.run(scenario())
