import json
import os

from robinspindle import boundedoutput
from robinspindle.boundedoutput import BoundedOutput


def test_an_output_that_nobody_reads_never_blocks_and_failures_go_last():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, {"node": "n"})
    text = "x" * 1000
    for _ in range(3000):
        output.write({"text": "good", "routine": True, "long": text})
        output.flush()
    assert output.left_out["good"] > 0
    for _ in range(100):
        output.write({"text": "failure", "long": text})
    assert output.left_out["failure"] == 0
    os.close(reader)
    os.close(writer)


def test_lines_come_out_whole_and_the_number_left_out_is_told(tmp_path, monkeypatch):
    monkeypatch.setattr(boundedoutput, "ROUTINE_LINES", 2)
    with open(tmp_path / "out", "wb") as file:
        output = BoundedOutput(file.fileno(), {"node": "n"})
        for number in range(5):
            output.write({"text": "good", "routine": True, "number": number})
        output.write({"text": "failure"})
        output.flush()
        output.flush()
    text = (tmp_path / "out").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    assert [line["text"] for line in lines] == [
        "good",
        "good",
        "failure",
        "lines left out",
    ]
    assert lines[-1]["left_out"] == {"good": 3}
    assert output.total_left_out == 3


def test_a_reader_that_is_gone_is_counted():
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(writer)
    output.write({"text": "a"})
    output.flush()
    assert output.left_out["output failed"] == 0
    os.close(writer)


def test_a_quiet_output_tells_failures_only(tmp_path):
    with (tmp_path / "log").open("w+b") as file:
        output = BoundedOutput(file.fileno(), tells_routine=False)
        output.write({"text": "request ended", "routine": True})
        output.write({"text": "store lost"})
        output.flush()
        file.seek(0)
        assert file.read() == b'{"text":"store lost"}\n'
        assert output.total_left_out == 0
