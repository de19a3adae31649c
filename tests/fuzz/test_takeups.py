import pytest

from fuzz.mutants import apply_mutant
from fuzz.takeupmutants import TAKE_UP_MUTANTS
from fuzz.takeuporacle import play_long_cut, play_take_ups


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_seeded_runs_are_clean(seed):
    assert play_take_ups(seed) == ()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_stream_of_a_gateway_that_lost_the_store_alone_goes_on_at_another_version(
    seed,
):
    assert play_long_cut(seed) == ()


@pytest.mark.parametrize("mutant", TAKE_UP_MUTANTS, ids=lambda mutant: mutant.name)
def test_the_oracle_notices(mutant):
    with apply_mutant(mutant):
        assert any(play_take_ups(seed) for seed in range(1, 9))
