from benches.ablation import compare_switches, format_switches
from benches.pairs import Play


def make_play(revision, day, worth):
    figures = {"worth": worth, "in aim": worth, "refused": 0.0, "failed": 0.0}
    return Play("s", day, 1, revision, figures)


def test_each_switch_is_compared_with_all_in_force():
    plays = [make_play(".", day, 0.5) for day in ("a", "b")]
    plays += [make_play(".:serves_late", day, 0.4) for day in ("a", "b")]
    plays += [make_play(".:follows_ranks", day, 0.55) for day in ("a", "b")]
    rows = compare_switches(plays, ".", ["serves_late", "follows_ranks"])
    assert round(rows["serves_late"][0].mean, 3) == -0.1
    assert round(rows["follows_ranks"][0].mean, 3) == 0.05
    assert "serves_late" in format_switches(rows)
