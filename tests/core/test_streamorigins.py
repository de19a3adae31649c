import pytest

from robinspindle.core.streamorigins import (
    HOLDERS,
    MOST_ASKED,
    ORIGIN_LIFE_S,
    OriginTable,
    StreamOrigin,
    choose_asked,
    choose_told,
    find_origin,
    make_stream_key,
    note_origin,
)

GATEWAYS = [f"front-{number}" for number in range(23)]
KEYS = [make_stream_key("w", f"{number:016x}") for number in range(100)]
FIRST = StreamOrigin("lm", "v1", "i-1", 1_000)


def test_a_key_depends_on_the_workspace_and_where_it_ends():
    assert len({make_stream_key(*pair) for pair in (("", "a"), ("a", ""))}) == 2
    assert make_stream_key("w", "\udcff" * 5_000) != make_stream_key("w", "")


def test_the_first_origin_is_kept_and_another_version_is_refused():
    table = OriginTable()
    assert note_origin(table, KEYS[0], FIRST, 0.0)
    assert not note_origin(table, KEYS[0], StreamOrigin("lm", "v2", "i-1", 1_000), 1.0)
    assert not note_origin(table, KEYS[0], StreamOrigin("ml", "v1", "i-1", 1_000), 1.0)
    assert note_origin(table, KEYS[0], StreamOrigin("lm", "v1", "i-2", 2_000), 1.0)
    assert find_origin(table, KEYS[0], 1.0) == FIRST


def test_an_origin_goes_when_it_expires_or_the_table_is_full():
    table = OriginTable(capacity=3)
    for number, now in ((0, 0.0), (1, 0.0), (0, 10.0)):
        note_origin(table, KEYS[number], FIRST, now)
    now = ORIGIN_LIFE_S + 5.0
    assert find_origin(table, KEYS[0], now) == FIRST
    assert find_origin(table, KEYS[1], now) is None
    note_origin(table, KEYS[2], FIRST, now)
    assert list(table.entries) == [KEYS[0], KEYS[2]]
    for number in (3, 4):
        note_origin(table, KEYS[number], FIRST, now)
    assert list(table.entries) == KEYS[2:5]


@pytest.mark.parametrize("count", [1, 2, 4, 23])
def test_who_is_told_is_asked_also_by_who_knows_two_gateways_more_or_less(count):
    names = GATEWAYS[:count]
    for key, teller in zip(KEYS, names * len(KEYS), strict=False):
        others = set(names) - {teller}
        told = set(choose_told(key, sorted(others), others))
        assert len(told) == min(HOLDERS, count - 1)
        for asker in others:
            for known in ({*names, "new-1", "new-2"}, set(names), set(names[2:])):
                known = known - {asker}
                assert told & known <= set(choose_asked(key, sorted(known), known))


def test_gateways_that_are_gone_are_not_told_and_those_heard_elsewhere_are_asked():
    heard = set(GATEWAYS[::2])
    for key in KEYS:
        told = choose_told(key, GATEWAYS, heard)
        assert set(told) <= heard
        assert set(told) <= set(choose_asked(key, GATEWAYS, heard))
        assert len(choose_asked(key, GATEWAYS, set())) == MOST_ASKED
