"""Streams beside crashes of all engines of their version, on gateways as processes."""

import asyncio

from soak.versioncrashes import FEWEST_BROKEN, play


def test_streams_go_on_once_their_version_is_back_after_a_crash(tmp_path):
    account = asyncio.run(play(1, 20.0, tmp_path))
    assert account.went_on + account.lost >= FEWEST_BROKEN
    assert not account.loses_streams()
