"""Sound replicas that fall silent beside changes, on gateways as processes."""

import asyncio

import pytest

from soak.ends import End
from soak.silences import play


@pytest.mark.parametrize("seed", [3, 5])
def test_silent_replicas_that_go_on_close_no_callers_connection(seed, tmp_path):
    oracle, account = asyncio.run(play(seed, 8.0, tmp_path))
    assert oracle.findings == []
    assert account.count(End.WRONG) == 0
    assert account.count(End.WHOLE, is_beside=True) > 50
    assert account.closed == []
