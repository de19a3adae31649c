import pytest

from fuzz.keymutants import KEY_MUTANTS
from fuzz.keyworld import play_keys
from fuzz.mutants import apply_mutant


@pytest.mark.parametrize("seed", range(1, 11))
def test_seeded_runs_are_clean(seed):
    assert play_keys(seed) == ()


@pytest.mark.parametrize("mutant", KEY_MUTANTS, ids=lambda mutant: mutant.name)
def test_the_oracle_notices(mutant):
    with apply_mutant(mutant):
        assert any(play_keys(seed) for seed in range(1, 40))
