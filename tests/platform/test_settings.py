import math

import pytest

from robinspindle.cli import main
from robinspindle.exceptions import InvalidDocumentError
from robinspindle.gatewaysettings import HostPort
from robinspindle.platform.settings import read_gateway_settings

GOOD = """
Node = "front-a-1"
Zone = "a"
Ip = "10.1.0.35"
InternalPorts = [7660,7675]
Unknown = "ignored"
[Listen]
Front = "10.1.0.35:8144"
Ready = "10.1.0.35:8140"
[Limits]
MemoryMb = 300
LinkMbps = 10.0
[Bounds]
DrainMs = 3000
GraceS = 8
RequireFence = true
[Platform]
Address = "10.200.1.7:8142"
"""


def write(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return str(path)


def test_settings_are_decoded_with_their_units(tmp_path):
    settings = read_gateway_settings(write(tmp_path, GOOD))
    assert settings.store == HostPort("10.200.1.7", 8142)
    assert (settings.pledges.leave_s, settings.pledges.stop_s) == (3.0, 8.0)
    assert settings.pledges.lease_s == 3.0
    assert settings.pledges.engines_check_fences
    assert settings.link_bytes_per_s == 1_250_000.0
    without = read_gateway_settings(write(tmp_path, GOOD.replace("LinkMbps", "Other")))
    assert without.link_bytes_per_s == math.inf


def test_every_finding_names_its_key(tmp_path):
    text = GOOD.replace('Front = "10.1.0.35:8144"', 'Front = "nowhere"')
    text = text.replace('Zone = "a"', "Zone = 3").replace('Node = "front-a-1"', "")
    text = text.replace("DrainMs = 3000", 'DrainMs = "x"')
    with pytest.raises(InvalidDocumentError) as caught:
        read_gateway_settings(write(tmp_path, text))
    places = [(found.section, found.key) for found in caught.value.findings]
    assert places == [
        ("", "Node"),
        ("", "Zone"),
        ("Listen", "Front"),
        ("Bounds", "DrainMs"),
    ]


def test_the_command_line_checks_settings_and_starts_nothing(tmp_path, capsys):
    assert main(["config", "check", write(tmp_path, GOOD)]) == 0
    assert main(["config", "check", write(tmp_path, "not toml")]) == 1
    assert main(["gateway", write(tmp_path, "")]) == 1
    assert "Listen" in capsys.readouterr().err
