import tracemalloc

import pytest

from robinspindle.core.workspaces import (
    MAX_KEY_BYTES,
    Workspace,
    digest_key,
    find_key_fault,
    find_owner,
    make_key_ring,
)


def make_ring(count, workspaces=84):
    teams = [Workspace(f"team-{number}", number % 2) for number in range(workspaces)]
    pairs = (
        (digest_key(b"key-%d" % number), teams[number % workspaces])
        for number in range(count)
    )
    return make_key_ring(pairs)


def test_a_key_identifies_its_workspace_and_an_unknown_one_none():
    ring, findings = make_ring(168)
    assert not findings
    assert find_owner(ring, digest_key(b"key-85")).name == "team-1"
    assert find_owner(ring, digest_key(b"key-168")) is None


def test_a_key_of_two_workspaces_is_reported_without_quoting_it():
    pairs = [(digest_key(b"secret"), Workspace(name)) for name in ("a", "b")]
    _, findings = make_key_ring(pairs)
    assert findings == ["workspaces a and b share a key"]


def test_a_key_may_occur_twice_in_one_workspace():
    _, findings = make_key_ring([(digest_key(b"k"), Workspace("a"))] * 2)
    assert not findings


@pytest.mark.parametrize("key", ["", "a b", "ü", "\x07", "k" * (MAX_KEY_BYTES + 1)])
def test_an_invalid_key_is_reported_without_quoting_it(key):
    fault = find_key_fault(key)
    assert fault is not None
    assert not key or key not in fault


def test_a_key_ring_holds_no_key():
    ring, _ = make_key_ring([(digest_key(b"secret"), Workspace("a"))])
    assert "secret" not in repr(ring) + repr(ring.owners)


def test_the_digests_of_100_000_keys_fit_a_small_machine():
    """The digests take 20 MB of the 200 MB of a small machine."""
    tracemalloc.start()
    ring, _ = make_ring(100_000)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(ring.owners) == 100_000
    assert size < 40e6
