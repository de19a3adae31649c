import pytest

from robinspindle.core.sizeclasses import find_size_class


@pytest.mark.parametrize(
    ("tokens", "max_tokens"),
    [(0, 1), (1, 1), (2, 2), (3, 4), (4096, 4096), (4097, 8192)],
)
def test_class_is_the_next_power_of_two(tokens, max_tokens):
    assert find_size_class(tokens) == max_tokens
