from pathlib import Path

from benches.compare import Task, Tree, format_differences, read_play
from benches.pairs import Play, compare_plays

TASK = Task(Tree("new", "abc", Path("t")), Path("sites/site.toml"), "quiet-1", 7)


def make_report(**changes):
    everyone = {"n": 200, "in_aim": 150, "late": 30, "refused": 4, "failed": 16}
    report = {
        "G": 0.55,
        "served": 0.8,
        "all": everyone,
        "parts": [["whole day", 0.4, 0.8]],
        "prices": [["orders", 2.0, 0.01]],
        "breaks": {},
        "fault": None,
    }
    return report | changes


def test_a_report_is_read_as_shares():
    play = read_play(make_report(), TASK)
    assert (play.site, play.day, play.seed) == ("site", "quiet-1", 7)
    assert play.figures["in aim"] == 0.75
    assert play.figures["failed"] == 0.08
    assert play.figures["price: orders"] == 0.01
    assert play.broken == ()


def test_a_broken_rule_and_a_fault_are_both_kept():
    report = make_report(breaks={"TWICE": 1}, fault="does not start")
    assert read_play(report, TASK).broken == ("TWICE", "does not start")


def test_the_table_leaves_out_what_is_next_to_nothing():
    first = [Play("s", "d", 1, "a", {"worth": 0.5, "price: probes": 0.0001})]
    second = [Play("s", "d", 1, "b", {"worth": 0.6, "price: probes": 0.0})]
    table = format_differences(compare_plays(first, second))
    assert "worth" in table
    assert "probes" not in table
    assert "too few pairs" in table
