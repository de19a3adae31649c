import pytest

from fuzz.guardmutants import GUARD_MUTANTS
from fuzz.guardoracle import play_guards
from fuzz.mutants import apply_mutant


@pytest.mark.parametrize("seed", [1, 2, 3, 5, 14, 55])
def test_seeded_runs_are_clean(seed):
    assert play_guards(seed) == ()


@pytest.mark.parametrize("mutant", GUARD_MUTANTS, ids=lambda mutant: mutant.name)
def test_the_oracle_notices(mutant):
    with apply_mutant(mutant):
        assert any(play_guards(seed) for seed in range(1, 9))
