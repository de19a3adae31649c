import pytest

from fuzz.gatewaymutants import GATEWAY_MUTANTS
from fuzz.gatewayoracle import play_gateways
from fuzz.mutants import apply_mutant


@pytest.mark.parametrize("seed", range(1, 41))
def test_seeded_runs_are_clean(seed):
    assert play_gateways(seed) == ()


@pytest.mark.parametrize("mutant", GATEWAY_MUTANTS, ids=lambda mutant: mutant.name)
def test_the_oracle_notices(mutant):
    with apply_mutant(mutant):
        assert any(play_gateways(seed) for seed in range(1, 60))
