from dataclasses import asdict
from pathlib import Path

import pytest

from robinspindle.cli import main
from robinspindle.core.policy import Policy
from robinspindle.core.zonecosts import ZoneTerms
from robinspindle.exceptions import InvalidDocumentError
from robinspindle.policyfile import read_policy, read_policy_file

DEPLOYED = Path(__file__).parent.parent / "deploy" / "policy.ini"


def write(tmp_path, text):
    path = tmp_path / "policy.ini"
    path.write_text(text)
    return str(path)


def test_what_is_not_named_is_as_usual(tmp_path):
    policy = read_policy(write(tmp_path, "[decisions]\nserves_late = off\n"))
    assert policy == Policy(serves_late=False)
    assert read_policy(write(tmp_path, "")) == Policy()


def test_the_deployed_file_names_each_switch_and_term():
    text = DEPLOYED.read_text()
    deployed = read_policy_file(str(DEPLOYED))
    words = {True: "on", False: "off"}
    for name, is_on in asdict(deployed.policy).items():
        assert f"{name} = {words[is_on]}\n" in text
    for name, value in asdict(deployed.zone_terms).items():
        assert f"{name} = {value:g}\n" in text


def test_only_switches_that_are_weighed_differ_from_their_defaults():
    switches = asdict(read_policy(str(DEPLOYED)))
    defaults = asdict(Policy())
    changed = {name for name, is_on in switches.items() if is_on != defaults[name]}
    assert changed == {"weighs_zones", "moves_answers"}
    off = {name for name, is_on in switches.items() if not is_on}
    assert off == {"shares_speeds", "copies_answers"}


def test_terms_of_zones_are_checked_with_their_places(tmp_path):
    text = "[zones]\nmb_cost_ms = dear\nmost_share = 1.1\ndelay = 1\ndelay_ms = nan\n"
    with pytest.raises(InvalidDocumentError) as caught:
        read_policy_file(write(tmp_path, text))
    found = [(f.section, f.key, f.line) for f in caught.value.findings]
    keys = ["mb_cost_ms", "most_share", "delay", "delay_ms"]
    assert found == [("zones", key, line) for line, key in enumerate(keys, 2)]
    terms = read_policy_file(write(tmp_path, "[zones]\nmb_cost_ms = 50\n")).zone_terms
    assert terms == ZoneTerms(mb_cost_ms=50.0)


def test_every_finding_is_told_with_its_place(tmp_path):
    text = "[decisions]\nserve_late = off\nfollows_ranks = 2\n[other]\n"
    with pytest.raises(InvalidDocumentError) as caught:
        read_policy(write(tmp_path, text))
    found = [(f.section, f.key, f.line) for f in caught.value.findings]
    assert found == [
        ("other", "", 4),
        ("decisions", "serve_late", 2),
        ("decisions", "follows_ranks", 3),
    ]
    assert "did you mean `serves_late`" in str(caught.value)


def test_a_file_that_is_not_there_is_a_finding(tmp_path):
    with pytest.raises(InvalidDocumentError):
        read_policy(str(tmp_path / "none.ini"))


def test_the_command_line_checks_it(tmp_path, capsys):
    assert main(["config", "check", str(DEPLOYED)]) == 0
    assert main(["config", "check", write(tmp_path, "[decisions]\nx = on\n")]) == 1
    assert "policy.ini" in capsys.readouterr().out
