from dataclasses import asdict, fields
from pathlib import Path

import pytest

from robinspindle.cli import main
from robinspindle.core.policy import Policy
from robinspindle.exceptions import InvalidDocumentError
from robinspindle.policyfile import read_policy

DEPLOYED = Path(__file__).parent.parent / "deploy" / "policy.ini"


def write(tmp_path, text):
    path = tmp_path / "policy.ini"
    path.write_text(text)
    return str(path)


OFF = {"copies_answers", "moves_answers"}
"""Switches of decisions that an operator must ask for."""


def test_what_is_not_named_is_as_usual(tmp_path):
    policy = read_policy(write(tmp_path, "[decisions]\nserves_late = off\n"))
    assert policy == Policy(serves_late=False)
    assert read_policy(write(tmp_path, "")) == Policy()


def test_the_deployed_file_names_each_switch_and_all_but_those_asked_for_are_on():
    lines = DEPLOYED.read_text().splitlines()
    for field in fields(Policy):
        word = "off" if field.name in OFF else "on"
        assert f"{field.name} = {word}" in lines
    switches = asdict(read_policy(str(DEPLOYED)))
    assert {name for name, is_on in switches.items() if not is_on} == OFF


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
