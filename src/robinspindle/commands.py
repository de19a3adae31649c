"""The operators' commands: each function is one command of the command line."""

import argparse
import asyncio
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec

from robinspindle.client import OperatorClient
from robinspindle.core.burn import BurnRow, merge_burn
from robinspindle.core.documents import parse_configuration
from robinspindle.core.records import (
    AnyIntent,
    Drain,
    ServeModel,
    SetRoles,
    Standing,
    Undrain,
)
from robinspindle.core.state import FINAL_STATUSES, PLAN_DONE
from robinspindle.core.workspaces import digest_bearer_key
from robinspindle.exceptions import ApiError, Finding, InvalidDocumentError
from robinspindle.explaining import format_story, read_lines, tell_story
from robinspindle.following import KeyedStore
from robinspindle.keys import (
    format_fleet_key,
    make_bearer_key,
    make_fleet_key,
)
from robinspindle.losses import count_losses
from robinspindle.losstables import describe_losses, format_losses
from robinspindle.platform.adapter import PlatformAdapter
from robinspindle.platform.settings import read_gateway_settings
from robinspindle.policyfile import SECTIONS as POLICY_SECTIONS
from robinspindle.policyfile import read_policy
from robinspindle.previewreports import Question, ask_preview, format_preview
from robinspindle.quarantinelisting import (
    describe_entry,
    format_entries,
    read_entries,
    release_entry,
)
from robinspindle.settings import KINDS, OperatorSettings, read_settings
from robinspindle.tables import format_burn, format_table
from robinspindle.usagewindows import format_windows, tell_windows

PLATFORM_SUFFIX = ".toml"
FOLLOW_PAUSE_S = 0.3
PRIVATE_MODE = 0o600


def make_client(args: argparse.Namespace) -> OperatorClient:
    """Make a client from a settings file or from the options."""
    settings = OperatorSettings(entries=" ".join(args.entry), key_file=args.key_file)
    if args.settings:
        settings = read_settings(args.settings, "operator")
    bearer = args.key
    if settings.key_file:
        bearer = Path(settings.key_file).read_text().strip()
    return OperatorClient(settings.entries.split(), bearer, settings.ca_file)


def print_value(args: argparse.Namespace, value: Any, text: str) -> None:
    """Print a value as JSON or as text for people."""
    if args.json:
        print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
    else:
        print(text)


def check_config(args: argparse.Namespace) -> int:
    """Check settings files and configuration documents without starting anything."""
    findings: list[Finding] = []
    for path in args.file:
        try:
            if path.endswith(PLATFORM_SUFFIX):
                read_gateway_settings(path)
                continue
            text = Path(path).read_text()
            if any(f"[{section}]" in text for section in POLICY_SECTIONS):
                read_policy(path)
                continue
            kinds = [kind for kind in KINDS if f"[{kind}]" in text]
            for kind in kinds:
                read_settings(path, kind)
            if not kinds:
                parse_configuration(text, path)
        except InvalidDocumentError as error:
            findings += [found for found in error.findings if found not in findings]
        except (OSError, UnicodeDecodeError) as error:
            findings.append(Finding(path, "", "", 0, str(error)))
    lines = [str(finding) for finding in findings] or ["no findings"]
    print_value(args, msgspec.to_builtins(findings), "\n".join(lines))
    return 1 if findings else 0


def explain(args: argparse.Namespace) -> int:
    """Tell a request's story; 4 when the logs don't name it."""
    story = tell_story(args.request, read_lines(_read_texts(args.file)))
    print(format_story(story))
    return 0 if story.lines else 4


def count_lost(args: argparse.Namespace) -> int:
    """Tell what was lost to which reason; 4 when the logs tell of no attempt."""
    losses = count_losses(read_lines(_read_texts(args.file)))
    print_value(args, describe_losses(losses), format_losses(losses))
    return 0 if losses.attempts else 4


def tell_usage(args: argparse.Namespace) -> int:
    """Tell how windows' usage was reported; 4 when the logs name none."""
    stories = tell_windows(read_lines(_read_texts(args.file)))
    values = [asdict(story) | {"state": story.state} for story in stories]
    print_value(args, values, format_windows(stories))
    return 0 if stories else 4


def _read_texts(paths: list[str]) -> list[str]:
    """Read the lines of log files, of standard input where none is named."""
    if not paths:
        return sys.stdin.read().splitlines()
    texts: list[str] = []
    for path in paths:
        texts += Path(path).read_text(errors="replace").splitlines()
    return texts


def publish_config(args: argparse.Namespace) -> int:
    """Publish a configuration document."""
    text = Path(args.file).read_text()
    parse_configuration(text, args.file)
    value = make_client(args).post("configuration", text.encode())
    print_value(args, value, f"in force as version {value['version']}")
    return 0


def show_config(args: argparse.Namespace) -> int:
    """Show the configuration in force."""
    value = make_client(args).get("configuration")
    print_value(args, value, f"# version {value['version']}\n{value['text']}")
    return 0


def make_intent(args: argparse.Namespace) -> AnyIntent:
    """Turn the options of ``plan`` into an intent."""
    if args.intent == "roles":
        return SetRoles(
            model=args.model, prefill=args.prefill, decode=args.decode, mixed=args.mixed
        )
    if args.intent == "serve":
        return ServeModel(
            model=args.model,
            targets=tuple(args.target),
            adapters=tuple(args.adapter),
            version=args.version,
        )
    if args.intent == "drain":
        return Drain(targets=tuple(args.target))
    if args.intent == "undrain":
        return Undrain(targets=tuple(args.target))
    return Standing(
        model=args.model,
        least_prefill=args.least_prefill,
        most_prefill=args.most_prefill,
        changes_per_hour=args.changes_per_hour,
        cooldown_s=args.cooldown,
        gain=args.gain,
    )


def plan(args: argparse.Namespace) -> int:
    """State an intent and show the plan for it."""
    body = msgspec.json.encode(make_intent(args))
    value = make_client(args).post("plans", body)
    text = f"{format_plan(value)}\nConfirm with: robinspindle confirm {value['id']}"
    print_value(args, value, text)
    return 0


def confirm(args: argparse.Namespace) -> int:
    """Confirm a plan, and follow it if asked to."""
    client = make_client(args)
    try:
        value = client.post(f"confirm/{args.plan}")
    except ApiError as error:
        if not isinstance(error.body, dict) or not error.body.get("fresh"):
            raise
        fresh = error.body["fresh"]
        text = f"{format_plan(error.body)}\n\nA fresh plan:\n{format_plan(fresh)}"
        print_value(args, error.body, text)
        return 3
    if args.follow:
        value = _follow(client, value)
    print_value(args, value, format_plan(value))
    return 0 if value["status"] in ("running", PLAN_DONE) else 3


def call_off(args: argparse.Namespace) -> int:
    """Call off the steps of a plan that have not begun."""
    value = make_client(args).post(f"call-off/{args.plan}")
    print_value(args, value, format_plan(value))
    return 0


def show_plan(args: argparse.Namespace) -> int:
    """Show one plan, or all that are remembered."""
    client = make_client(args)
    if args.plan:
        value = client.get(f"plans/{args.plan}")
        print_value(args, value, format_plan(value))
        return 0
    value = client.get("plans")
    rows = [
        (p["id"], p["status"], p["intent"]["type"], p["operator"], p["reason"])
        for p in value
    ]
    head = ("plan", "status", "intent", "operator", "reason")
    print_value(args, value, format_table(head, rows))
    return 0


def show_status(args: argparse.Namespace) -> int:
    """Show the deployment as the entries see it."""
    values = make_client(args).get_from_all("status")
    print_value(args, values, "\n\n".join(format_status(value) for value in values))
    return 0 if all(value["ready"] for value in values) else 4


def report_burn(args: argparse.Namespace) -> int:
    """Report the service-level burn over all entries."""
    answers = make_client(args).get_from_all("burn")
    rows = [msgspec.convert(row, BurnRow) for answer in answers for row in answer]
    merged = merge_burn(rows)
    value = [msgspec.to_builtins(row) | {"rate": row.rate} for row in merged]
    print_value(args, value, format_burn(merged))
    return 0


def make_keys(args: argparse.Namespace) -> int:
    """Make a fleet key file, or a workspace's bearer key."""
    if args.kind == "fleet":
        path = Path(args.file)
        path.touch(PRIVATE_MODE, exist_ok=False)
        path.write_text(format_fleet_key(make_fleet_key()))
        print(f"wrote {path}; give it to every entry and agent")
        return 0
    bearer = make_bearer_key()
    print(f"key    {bearer}\ndigest {digest_bearer_key(bearer)}")
    return 0


def format_plan(value: dict) -> str:
    """Lay a plan out for people."""
    title = f"plan {value['id']}: {value['status']}"
    if value["reason"]:
        title += f" ({value['reason']})"
    rows = [
        (
            _mark_step(value, number),
            step["target"],
            step["action"],
            _describe_step(step),
            f"{step['lost_s']:.0f}",
        )
        for number, step in enumerate(value["steps"])
    ]
    table = format_table(("step", "target", "action", "to", "lost s"), rows)
    lost = f"capacity lost: about {value['lost_s']:.0f} target seconds"
    return "\n".join([title, table, lost, f"holds {value['holds']}"])


def format_status(value: dict) -> str:
    """Lay the status of one entry out for people."""
    log = "reached" if value["log_reached"] else "not reached"
    title = (
        f"{value['entry']}: {'ready' if value['ready'] else 'not ready'}, log {log}, "
        f"offset {value['offset']}, configuration {value['configuration']}, "
        f"coordinator {value['coordinator'] or 'none'}"
    )
    head = [
        "name",
        "zone",
        "pool",
        "role",
        "state",
        "running",
        "queued",
        "wait_s",
        "step_ms",
    ]
    rows = [[target[name] for name in head] for target in value["targets"]]
    parts = [title, format_table(head, rows)]
    parts += [f"rejected: {finding}" for finding in value["rejected"]]
    parts += [format_plan(plan) for plan in value["plans"]]
    return "\n".join(parts)


def _follow(client: OperatorClient, value: dict) -> dict:
    """Show a plan's progress until it has ended."""
    shown = -1
    while value["status"] not in FINAL_STATUSES:
        if value["step"] != shown:
            shown = value["step"]
            total = len(value["steps"])
            print(f"step {shown + 1} of {total} is under way", file=sys.stderr)
        time.sleep(FOLLOW_PAUSE_S)
        value = client.get(f"plans/{value['id']}")
    return value


def _mark_step(value: dict, number: int) -> str:
    if number < value["step"]:
        return "done"
    is_current = number == value["step"] and value["status"] == "running"
    return "under way" if is_current else "to do"


def _describe_step(step: dict) -> str:
    if step["action"] == "role":
        return step["role"]
    if step["action"] == "load":
        return " ".join([step["model"], step["version"], *step["adapters"]]).strip()
    return ""


def quarantined(args: argparse.Namespace) -> int:
    """List the requests that gateways turn away because they crash targets."""
    store, topic = _open_store(args.settings)
    entries = asyncio.run(read_entries(store, topic))
    print_value(args, [describe_entry(e) for e in entries], format_entries(entries))
    return 0


def release_quarantined(args: argparse.Namespace) -> int:
    """Let a request that is turned away run again."""
    store, topic = _open_store(args.settings)
    now_ms = time.time_ns() // 1_000_000
    entry = asyncio.run(release_entry(store, topic, args.fingerprint, now_ms))
    print_value(args, describe_entry(entry), f"released {entry.fingerprint.hex()}")
    return 0


def preview(args: argparse.Namespace) -> int:
    """Show what a running gateway would do with a request, without sending it."""
    headers = [("Host", args.host)]
    for header in args.header:
        name, colon, value = header.partition(":")
        if not colon or not name.strip():
            raise ApiError(400, "a header is written `Name: value`")
        headers.append((name.strip(), value.strip()))
    if args.key_file:
        key = Path(args.key_file).read_text().strip()
        headers.append(("Authorization", f"Bearer {key}"))
    question = Question(args.method, args.path, headers)
    value = ask_preview(args.gateway, question)
    print_value(args, value, format_preview(value))
    return 0


def _open_store(path: str) -> tuple[KeyedStore, str]:
    adapter = PlatformAdapter()
    settings = read_gateway_settings(path)
    return adapter.make_store(settings, time.monotonic), adapter.gateways_topic
