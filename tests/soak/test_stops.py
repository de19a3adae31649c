import asyncio

import pytest

from soak.ends import End
from soak.stops import play


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_cut_or_runs_unanswered_as_gateways_stop(seed, tmp_path):
    # Bodies that were not whole by the end of a stop lost their connections.
    account = asyncio.run(play(seed, 2, tmp_path))
    assert account.findings == [] or account.was_paused
    assert account.ends["once", End.REFUSED] and account.ends["once", End.WHOLE]
