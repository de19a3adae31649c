"""Settings and configuration: all findings at once, each with its place."""

from pathlib import Path

import pytest

from robinspindle import cli
from robinspindle.core.documents import parse_configuration
from robinspindle.exceptions import InvalidDocumentError
from robinspindle.settings import read_settings

SAMPLES = Path(__file__).parents[1] / "examples"


@pytest.mark.parametrize("name", ["haddad", "franchise"])
def test_the_samples_describe_todays_fleets(name):
    configuration = parse_configuration((SAMPLES / f"{name}.ini").read_text())
    targets = configuration.targets.values()
    assert len({target.zone for target in targets}) == 3
    assert sum(1 for target in targets if target.model) == 6
    assert sum(1 for target in targets if target.service) == 3


def test_every_finding_is_reported_with_its_line():
    text = (
        "[fleet]\nname = x\nentrise = 2\n[policy]\nqueue_s = -1\n"
        "[target a]\nzone = z\nagent = 1.2.3.4:5\naddress = here\nmodel = none\n"
        "[wrokspace b]\n"
    )
    with pytest.raises(InvalidDocumentError) as caught:
        parse_configuration(text, "f.ini")
    lines = {finding.line for finding in caught.value.findings}
    assert lines == {3, 5, 9, 11}
    assert "did you mean `entries`?" in str(caught.value)


@pytest.mark.parametrize(
    "text",
    ["", "no section", "[fleet]\nname = a\nname = b", "[fleet\n", "[fleet]\n= 1"],
)
def test_text_that_is_no_document_gives_findings(text):
    with pytest.raises(InvalidDocumentError) as caught:
        parse_configuration(text)
    assert caught.value.findings


def test_settings_name_unknown_keys_and_bad_addresses(tmp_path):
    path = tmp_path / "agent.ini"
    path.write_text(
        "[agent]\ntarget = t\nlisten = localhost:1\nlog = http://1.2.3.4:5\nlgo = x\n"
    )
    with pytest.raises(InvalidDocumentError) as caught:
        read_settings(str(path), "agent")
    assert {f.key for f in caught.value.findings} == {"listen", "lgo"}


def test_config_check_starts_nothing_and_reports_all_files(tmp_path, capsys):
    bad = tmp_path / "bad.ini"
    bad.write_text("[entry]\nname = e\n")
    assert cli.main(["config", "check", str(bad), str(SAMPLES / "haddad.ini")]) == 1
    printed = capsys.readouterr().out
    assert f"{bad}:1: [entry] zone: is required" in printed
    assert cli.main(["config", "check", str(SAMPLES / "haddad.ini")]) == 0


def test_a_key_file_is_private_and_never_overwritten(tmp_path, capsys):
    path = tmp_path / "fleet.key"
    assert cli.main(["keys", "new", "fleet", str(path)]) == 0
    assert path.stat().st_mode & 0o077 == 0
    assert cli.main(["keys", "new", "fleet", str(path)]) == 1


def test_no_entry_answering_is_exit_code_4(capsys):
    assert cli.main(["status", "--entry", "http://127.0.0.1:9"]) == 4
    assert "no entry answers" in capsys.readouterr().err
