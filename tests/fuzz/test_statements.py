import pytest

from fuzz.mutants import apply_mutant
from fuzz.statementmutants import STATEMENT_MUTANTS
from fuzz.statementoracle import play_statements


@pytest.mark.parametrize("seed", range(1, 7))
def test_seeded_runs_are_clean(seed):
    assert play_statements(seed) == ()


@pytest.mark.parametrize("mutant", STATEMENT_MUTANTS, ids=lambda mutant: mutant.name)
def test_the_oracle_notices(mutant):
    with apply_mutant(mutant):
        assert any(play_statements(seed) for seed in range(1, 5))
