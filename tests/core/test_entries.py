from robinspindle.core import entries
from robinspindle.core.entries import UnusableEntries


def test_an_entry_is_logged_once_per_reason_and_again_after_it_was_valid():
    unusable = UnusableEntries()
    assert unusable.note("k", "no address")
    assert not unusable.note("k", "no address")
    assert unusable.note("k", "no state")
    unusable.forget("k")
    assert unusable.note("k", "no state")
    assert unusable.total == 4


def test_the_number_of_remembered_keys_is_bounded():
    unusable = UnusableEntries()
    for number in range(entries.MAX_KEYS + 10):
        unusable.note(f"k{number}", "no address")
    assert len(unusable.reasons) == entries.MAX_KEYS
