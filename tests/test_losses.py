import json
from collections import Counter
from pathlib import Path

import pytest

from robinspindle import losses
from robinspindle.cli import main
from robinspindle.explaining import read_lines
from robinspindle.losses import count_losses
from robinspindle.losstables import format_losses

RECORDED_REASONS = dict.fromkeys(
    (
        losses.IN_TIME,
        losses.WAITED,
        losses.MISJUDGED,
        losses.PAUSED,
        losses.REREAD,
        losses.SLOW,
        losses.REFUSED,
        losses.REFUSED_AGAIN,
        losses.TARGET_LOST,
        losses.GATEWAY_LOST,
        losses.OWN_FAULT,
    ),
    2,
)
"""Two attempts of each are kept in the recorded log."""

RECORDED = Path(__file__).parent / "data" / "losses.log"

END = {
    "route": "r-chat",
    "outcome": "delivered",
    "aim_ms": 300,
    "gap_ms": 200,
    "first_ms": 100.0,
    "planned_ms": 90.0,
    "held_ms": 900.0,
    "events": 8,
    "pause_ms": 80.0,
    "missing_share": 0.0,
    "is_return": False,
}


def make_line(text, request="r1", timestamp=100.0, **fields):
    told = {"node": "g1", "text": text, "request": request, "timestamp": timestamp}
    return json.dumps(told | fields)


def count(*texts):
    return count_losses(read_lines(texts))


def judge(routed=1, undelivered=0, **changes):
    """Judge one attempt whose end differs from one in time."""
    texts = [make_line("request routed", route="r-chat")] * routed
    texts += [make_line("target did not deliver", error="reset")] * undelivered
    found = count(*texts, make_line("request ended", **(END | changes)))
    assert found.attempts == 1
    ((reason, _),) = found.by_route["r-chat"].items()
    return reason


@pytest.mark.parametrize(
    ("reason", "changes"),
    [
        (losses.IN_TIME, {}),
        (losses.WAITED, {"first_ms": 400.0, "planned_ms": 390.0}),
        (losses.MISJUDGED, {"first_ms": 400.0, "planned_ms": 100.0}),
        (losses.REREAD, {"first_ms": 400.0, "planned_ms": 390.0, "missing_share": 1.0}),
        (losses.PAUSED, {"pause_ms": 250.0}),
        (losses.MOVED, {"first_ms": 400.0, "routed": 2}),
        (losses.TARGET_LOST, {"first_ms": 400.0, "routed": 2, "undelivered": 1}),
        (losses.REFUSED, {"outcome": "refused 503: busy"}),
        (losses.REFUSED_AGAIN, {"outcome": "refused 503: busy", "is_return": True}),
        (losses.TARGET_LOST, {"outcome": "refused 502: broken", "undelivered": 1}),
        (losses.TARGET_LOST, {"outcome": "broken off: broken"}),
        (losses.OWN_FAULT, {"outcome": "passed on: status-500"}),
        (
            losses.WAITED,
            {"outcome": "caller left", "events": 0, "first_ms": None, "held_ms": 120.0},
        ),
        (
            losses.PAUSED,
            {"outcome": "caller left", "pause_ms": 2100.0, "held_ms": 6000.0},
        ),
        (losses.SLOW, {"events": 0, "planned_ms": 0.0, "held_ms": 350.0}),
    ],
)
def test_each_attempt_is_put_down_to_one_reason(reason, changes):
    assert judge(**changes) == reason


def test_an_attempt_without_an_end_was_lost_with_its_gateway():
    found = count(make_line("request routed", route="r-chat"))
    assert found.by_route["r-chat"] == {losses.GATEWAY_LOST: 1}


def test_attempts_are_counted_by_spans_of_two_seconds():
    texts = [
        make_line("request ended", f"r{at}", 100.0 + at, **END)
        for at in (0.0, 1.9, 2.1, 7.0)
    ]
    spans = {span: counts.total() for span, counts in count(*texts).by_span.items()}
    assert spans == {0.0: 2, 2.0: 1, 6.0: 1}


def test_lines_of_another_version_and_cut_lines_are_told_as_left_out():
    old = {name: value for name, value in END.items() if name != "aim_ms"}
    found = count(
        make_line("request ended", "r1", **old),
        make_line("request ended", "r2", **END)[:-9],
        make_line("target did not deliver", "r3", error="reset"),
        make_line("lines left out", "", count=7),
        "no line of ours",
    )
    assert found.attempts == 0
    assert found.left_out.total() == 3


def test_real_times_are_set_against_planned_ones():
    texts = [
        make_line("request ended", f"r{n}", **(END | {"first_ms": 9.0 * (n + 1)}))
        for n in range(20)
    ]
    ratios = count(*texts).planned_ratios
    assert ratios[0] == pytest.approx(0.1)
    assert ratios == sorted(ratios)


def test_the_command_tells_tables_and_json(tmp_path, capsys):
    log = tmp_path / "gateway.log"
    log.write_text(make_line("request ended", **(END | {"pause_ms": 250.0})))
    assert main(["losses", str(log)]) == 0
    assert "paused" in capsys.readouterr().out
    assert main(["losses", str(log), "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["by_route"] == {"r-chat": {"paused": 1}}


def test_logs_without_an_attempt_end_with_4(tmp_path, capsys):
    log = tmp_path / "empty.log"
    log.write_text("nothing\n")
    assert main(["losses", str(log)]) == 4


def test_recorded_attempts_of_a_day_with_trouble_are_all_judged():
    found = count_losses(read_lines(RECORDED.read_text().splitlines()))
    reasons = sum(found.by_route.values(), Counter())
    assert not found.left_out
    assert reasons == RECORDED_REASONS


def test_attempts_are_counted_by_the_length_of_their_prompts():
    """Rates by route alone don't show that one size of prompts is not served."""
    texts = []
    for number, (tokens, outcome) in enumerate(
        [(900, "delivered"), (1000, "delivered"), (40_000, "refused 503: busy")]
    ):
        ended = END | {"outcome": outcome, "prompt_length": tokens}
        texts.append(make_line("request ended", request=f"r{number}", **ended))
    found = count(*texts)
    assert found.by_size[("r-chat", 1024)] == losses.Served(2, 2, 0)
    assert found.by_size[("r-chat", 65536)] == losses.Served(1, 0, 1)
    assert "65536" in format_losses(found)


LEFT = {"outcome": "caller left", "held_ms": 2000.0, "first_ms": None, "events": 0}


def test_the_leg_is_told_in_which_a_caller_left():
    """335 prompts that were read and never begun looked like waits for a reader, and
    answers that were cut at their caller's limit like lost targets."""
    assert judge(**LEFT, read_ms=None, planned_ms=1800.0) == losses.WAITED
    assert judge(**LEFT, read_ms=400.0) == losses.UNBEGUN
    cut = LEFT | {"first_ms": 90.0, "events": 20, "held_ms": 6000.0}
    assert judge(**cut, read_ms=50.0) == losses.CUT
    assert judge(**cut | {"pause_ms": 230.0}) == losses.PAUSED


def test_each_reason_has_a_column():
    ends = [
        make_line("request ended", f"r{n}", **END | end)
        for n, end in enumerate(
            [LEFT | {"read_ms": 9.0}, {"outcome": "refused 503: crashes-targets"}]
        )
    ]
    shown = format_losses(count(*ends))
    assert losses.UNBEGUN in shown
    assert losses.TURNED_AWAY in shown
