"""Settings and policies that hold anything: findings, or values that can be used."""

import math
import os
from dataclasses import astuple, fields, replace

import pytest
from hypothesis import given, settings

from robinspindle.documentfiles import read_document
from robinspindle.exceptions import InvalidDocumentError
from robinspindle.platform.settings import MOST_S, parse_gateway_settings
from robinspindle.policyfile import parse_policy
from robinspindle.rereading import SettingsReader, make_reread
from tests.odddocuments import GOOD, odd_policies, odd_settings, write_toml
from tests.platform.deployment import deploy, run


def list_numbers(value):
    if isinstance(value, tuple):
        return [number for part in value for number in list_numbers(part)]
    return [value] if isinstance(value, float) else []


@settings(max_examples=400)
@given(odd_settings)
def test_whatever_settings_hold_they_have_findings_or_finite_numbers(text):
    try:
        found = parse_gateway_settings("settings.toml", text)
    except InvalidDocumentError as error:
        assert error.findings
        return
    assert all(math.isfinite(number) for number in list_numbers(astuple(found)))
    assert 0 <= found.pledges.stop_s <= MOST_S
    assert found.pledges.repeat_window_s > 0
    assert 0 < found.callers.port < 65536


@settings(max_examples=300)
@given(odd_policies)
def test_whatever_a_policy_holds_it_has_findings_or_terms(text):
    try:
        found = parse_policy("policy.ini", text)
    except InvalidDocumentError as error:
        assert error.findings
        return
    assert all(math.isfinite(number) for number in astuple(found.zone_terms))


def test_all_settings_that_pass_can_be_put_in_force(tmp_path):
    async def scenario():
        async with deploy(tmp_path) as d:
            await d.add("i1")
            first = d.gateway.settings

            @settings(max_examples=200)
            @given(odd_settings)
            def put_in_force(text):
                try:
                    found = parse_gateway_settings("settings.toml", text)
                except InvalidDocumentError:
                    return
                d.gateway._apply_settings(found)

            put_in_force()
            d.gateway._apply_settings(first)
            assert (await d.call("/safe/x")).status == 200

    run(scenario())


@pytest.mark.parametrize("kind", ["missing", "folder", "pipe", "huge", "bytes", "nul"])
def test_a_file_of_another_kind_has_a_finding_and_holds_nobody_up(kind, tmp_path):
    path = tmp_path / "settings.toml"
    if kind == "folder":
        path.mkdir()
    elif kind == "pipe":
        os.mkfifo(path)
    elif kind == "huge":
        path.touch()
        os.truncate(path, 1 << 40)
    elif kind == "bytes":
        path.write_bytes(b'Node = "\xff"')
    with pytest.raises(InvalidDocumentError):
        read_document(f"{path}\0" if kind == "nul" else str(path))


def test_settings_are_parsed_only_where_they_changed():
    texts, parsed = [("a",), ("a",), ("b",), ("b",), ("a",)], []

    def parse(text):
        parsed.append(text)
        if text == "b":
            raise InvalidDocumentError([])
        return parse_gateway_settings("settings.toml", write_toml(GOOD))

    waiting = iter(texts)
    reread = make_reread(lambda: next(waiting), parse)
    assert reread() == reread()
    for _ in range(2):
        with pytest.raises(InvalidDocumentError):
            reread()
    reread()
    assert parsed == ["a", "b", "a"]


def make_reader(reread, apply, lines):
    first = parse_gateway_settings("settings.toml", write_toml(GOOD))
    log = lambda text, **fields: lines.append(text)  # noqa: E731
    return SettingsReader(first, lambda: reread(first), apply, 0.0, log)


def test_names_and_addresses_stay_until_the_next_start():
    lines, applied = [], []
    reader = make_reader(
        lambda first: replace(first, name="other", ip="10.1.0.36", memory_mb=301.0),
        applied.append,
        lines,
    )
    reader.read(1.0)
    assert (reader.settings.name, reader.settings.ip) == ("front-a-1", "10.1.0.35")
    assert reader.settings.memory_mb == 301.0
    assert lines == ["settings in force"]


def test_settings_that_cannot_be_put_in_force_change_nothing_and_are_logged_once():
    lines, applied = [], []

    def apply(found):
        applied.append(found.memory_mb)
        if found.memory_mb == 301.0:
            raise ZeroDivisionError

    reader = make_reader(lambda first: replace(first, memory_mb=301.0), apply, lines)
    for now in (1.0, 2.0, 3.0):
        reader.read(now)
    assert reader.settings.memory_mb == 300.0
    assert applied[-1] == 300.0
    assert lines == ["settings can't be read, the last ones stay"]


def test_each_setting_has_a_good_value_among_those_that_are_spoiled():
    found = parse_gateway_settings("settings.toml", write_toml(GOOD))
    assert found.duties is not None
    assert {field.name for field in fields(found)} >= {"callers", "pledges"}
