from robinspindle.explaining import read_lines
from robinspindle.usagewindows import format_windows, tell_windows

LINES = """
{"node":"g1","text":"usage decided","window":7,"requests":12,"gateways":["g1","g2"],"timestamp":1.0}
{"node":"g1","text":"usage reported","window":7,"outcome":"no answer","after_ms":2000,"in_time":true,"timestamp":2.0}
{"node":"g2","text":"usage reported","window":7,"outcome":"taken","after_ms":7000,"in_time":true,"timestamp":3.0}
{"node":"g3","text":"counts written to the store","window":8,"timestamp":4.0}
{"node":"g1","text":"usage decided","window":8,"requests":3,"gateways":["g3"],"timestamp":5.0}
{"node":"g1","text":"usage reported","window":8,"outcome":"taken","after_ms":12000,"in_time":false,"timestamp":6.0}
{"node":"g1","text":"usage missed","window":9,"reason":"not taken in time","timestamp":7.0}
{"node":"g1","text":"request ended","request":"r","timestamp":8.0}
"""  # noqa: E501


def test_each_window_tells_how_its_report_went():
    stories = tell_windows(read_lines(LINES.splitlines()))
    assert [(s.window, s.state) for s in stories] == [
        (7, "acknowledged"),
        (8, "late"),
        (9, "missed"),
    ]
    first, second, third = stories
    assert (first.requests, first.sent, first.holders) == (12, 2, ["g1", "g2"])
    assert second.spilled_by == ["g3"]
    assert third.missed == "not taken in time"
    assert "acknowledged" in format_windows(stories)


def test_logs_without_a_window_say_so():
    assert format_windows(tell_windows([])) == "the logs name no window"
