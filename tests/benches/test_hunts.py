import json

from benches.hunts import count_found, format_found, read_entries

SHORT = "of the largest tenth of notes 0.26 were served, of all 0.83"


def write_entry(folder, number, days, **changes):
    entry = {
        "id": f"e{number}",
        "at": ["2026-01-01T00:00:00Z", ""],
        "cmd": "hunt",
        "head": "abcdef0123456789",
        "dirty": False,
        "site": "s",
        "days": days,
        "other": 1,
    }
    path = folder / f"2026-{number}.json"
    path.write_text(json.dumps(entry | changes))


def test_a_day_that_failed_its_gate_alone_counts(tmp_path):
    days = [
        {"name": "trouble-1 --seed 5", "short": [SHORT]},
        {"name": "quiet-1", "short": [], "rules": {}},
        {"name": "scale-1", "rules": {"LOST": 2}, "short": ["a rule is broken"]},
        {"name": "scale-2", "fault": "too slow", "short": ["fault"]},
    ]
    write_entry(tmp_path, 1, days)
    write_entry(tmp_path, 2, [], site=None)
    write_entry(tmp_path, 3, [{"name": "quiet-1"}], dirty=True)
    found = count_found(read_entries(tmp_path))
    here = found[("s", "abcdef01")]
    assert (here.days, here.broken, here.faults, here.short) == (4, 1, 1, 1)
    assert found[("s", "abcdef01+")].days == 1
    assert found[("not ended", "abcdef01")].days == 0
    assert f"trouble-1 --seed 5 (e1): {SHORT}" in format_found(found)
