import json
from pathlib import Path

import pytest

from robinspindle.cli import main
from robinspindle.explaining import read_lines, tell_story


def make_log(text, at, node="front-1", **fields):
    return json.dumps({"node": node, "at": at, "text": text, **fields})


ROUTED = make_log(
    "request routed", 5.0, request="r1", target="i1", wait_ms=3.0, list_age_ms=200
)


def tell(*texts, id="r1"):
    return tell_story(id, read_lines(texts))


def test_a_story_is_told_in_order_from_several_files_with_other_text_between():
    story = tell(
        make_log("request ended", 5.2, request="r1", outcome="delivered"),
        "no json at all",
        "{broken",
        make_log("request ended", 5.1, request="other", outcome="delivered"),
        " 3.25 front-1 " + ROUTED,
    )
    assert [line.text for line in story.lines] == ["request routed", "request ended"]
    assert not story.missing


def test_a_refusal_names_what_was_believed():
    end = make_log(
        "request ended",
        5.1,
        request="r1",
        outcome="refused 503: busy",
        wait_ms=140.0,
        planned_ms=190.0,
    )
    story = tell(ROUTED, end)
    assert "140.0 ms of other prompts" in story.causes[0]


def test_each_target_that_did_not_deliver_is_a_cause():
    story = tell(
        ROUTED,
        make_log(
            "target did not deliver", 5.1, request="r1", target="i1", error="reset"
        ),
        make_log("request ended", 5.2, request="r1", outcome="refused 502: broken"),
    )
    assert story.causes == [
        "unknown outcome: a target may have run it and it may not run again",
        "target i1 did not deliver: reset",
    ]


@pytest.mark.parametrize(
    ("texts", "missing"),
    [
        ((), "no line names this request"),
        ((ROUTED,), "no line tells its end"),
        (
            (make_log("request ended", 1.0, request="r1", outcome="delivered"),),
            "no line tells its routing",
        ),
        ((make_log("lines left out", 1.0, left_out={"x": 3}),), "some lines were left"),
    ],
)
def test_what_the_logs_lack_is_said(texts, missing):
    assert any(text.startswith(missing) for text in tell(*texts).missing)


def test_the_command_reads_files_and_tells_whether_it_found_anything(tmp_path, capsys):
    file = tmp_path / "log"
    end = make_log("request ended", 5.2, request="r1", outcome="delivered")
    file.write_text(f"{ROUTED}\n{end}\n")
    assert main(["explain", "r1", str(file)]) == 0
    assert "cause: delivered" in capsys.readouterr().out
    assert main(["explain", "r9", str(file)]) == 4


RECORDED = Path(__file__).parent / "data" / "recorded.log"


@pytest.mark.parametrize(
    ("id", "causes"),
    [
        (
            "5f8b520a0d56bd9c",
            [
                "refused unsent: 130.7 ms of other prompts were believed to be ahead "
                "and the first event was expected after 208.9 ms"
            ],
        ),
        (
            "8e451b604d21f381",
            [
                "delivered: first byte after 381.1 ms, whole after 547.5 ms",
                "target i-67eb601296 did not deliver: not run: status 503",
            ],
        ),
        (
            "c107a01e801822f3",
            [
                "broken off: broken",
                "target i-a477cf15eb did not deliver: "
                "[Errno 104] Connection reset by peer",
            ],
        ),
    ],
)
def test_recorded_requests_are_traced_to_their_cause(id, causes):
    story = tell_story(id, read_lines(RECORDED.read_text().splitlines()))
    assert story.causes == causes
    assert not story.missing


def test_a_recorded_request_with_an_unknown_outcome_names_the_target():
    lines = read_lines(RECORDED.read_text().splitlines())
    story = tell_story("2d705d4380118a2b", lines)
    assert story.causes[0].startswith("unknown outcome")
    assert "did not deliver" in story.causes[1]


def test_a_request_that_is_turned_away_and_what_it_crashed_are_told():
    fields = {"request": "r1", "node": "g1", "fingerprint": "0a0b", "timestamp": 1.0}
    texts = [
        {"text": "target crashed under a request", "target": "i1", "crashes_met": 3},
        {"text": "request turned away"},
        {"text": "request ended", "outcome": "refused 503: crashes-targets"},
    ]
    lines = [json.dumps({**fields, **told, "at": n}) for n, told in enumerate(texts)]
    story = tell_story("r1", read_lines(lines))
    assert story.missing == []
    assert "0a0b" in story.causes[1]
    assert story.causes[2] == "target i1 crashed under it, the 3. so far"
