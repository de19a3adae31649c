"""The command line: ``robinspindle COMMAND``."""

import argparse
import sys
from collections.abc import Sequence

from robinspindle import commands
from robinspindle.exceptions import (
    ApiError,
    InvalidDocumentError,
    KeyFileError,
    RobinspindleError,
)

DESCRIPTION = """Serve language models from a small, fixed fleet of engines.

Callers send requests to entries; one agent beside each target has the last word on
what it receives; operators state intents and confirm plans."""

EXIT_CODES = """exit codes:
  0  done
  1  bad settings, configuration or key: every finding is printed with its place
  2  bad command line
  3  refused: a conflict, a plan that failed, or an operation that is not allowed
  4  not ready, or no entry answers; worth trying again
"""

MOST_CHARACTERS = 20_000
"""Characters of findings that are printed: a pipe that nobody reads takes so many."""


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="robinspindle",
        description=DESCRIPTION,
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(json=False)
    verbs = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_processes(verbs)
    _add_plans(verbs)
    _add_queries(verbs)
    _add_config(verbs)
    _add_keys(verbs)
    _add_explain(verbs)
    _add_preview(verbs)
    _add_quarantine(verbs)
    version = verbs.add_parser("version", help="print the version")
    version.set_defaults(run=_print_version)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    args = make_parser().parse_args(argv)
    try:
        return args.run(args)
    except InvalidDocumentError as error:
        print(str(error)[:MOST_CHARACTERS], file=sys.stderr)
        return 1
    except (KeyFileError, FileExistsError, FileNotFoundError) as error:
        print(f"robinspindle: {error}", file=sys.stderr)
        return 1
    except ApiError as error:
        print(f"robinspindle: {error}", file=sys.stderr)
        return 4 if error.status in (0, 503, 504) else 3
    except RobinspindleError as error:
        print(f"robinspindle: {error}", file=sys.stderr)
        return 3
    except OSError as error:
        print(f"robinspindle: {error}", file=sys.stderr)
        return 4


def _add_processes(verbs) -> None:
    for name, text in (
        ("entry", "serve callers and operators (on an entry VM)"),
        ("agent", "stand beside one target (on its VM)"),
    ):
        verb = verbs.add_parser(name, help=text, description=text)
        verb.add_argument("settings", help=f"INI file with a section [{name}]")
        verb.set_defaults(run=_run_entry if name == "entry" else _run_agent)
    text = "serve callers on the users' platform (on an entry VM)"
    gateway = verbs.add_parser("gateway", help=text, description=text)
    gateway.add_argument("settings", help="the platform's settings file, TOML")
    gateway.add_argument(
        "--metrics-port", type=int, default=0, help="port for metrics; 0 for none"
    )
    gateway.add_argument(
        "--quiet", action="store_true", help="log no lines about success"
    )
    gateway.add_argument(
        "--policy", default="", help="INI file that switches decisions on and off"
    )
    gateway.set_defaults(run=_run_gateway)


def _add_plans(verbs) -> None:
    plan = verbs.add_parser("plan", help="state an intent and get a plan for it")
    intents = plan.add_subparsers(dest="intent", required=True, metavar="INTENT")
    roles = intents.add_parser("roles", help="have so many targets in each role")
    roles.add_argument("model")
    for role in ("prefill", "decode", "mixed"):
        roles.add_argument(f"--{role}", type=int, default=0, metavar="N")
    serve = intents.add_parser("serve", help="have targets serve a model")
    serve.add_argument("model")
    serve.add_argument("--target", action="append", required=True)
    serve.add_argument("--adapter", action="append", default=[])
    serve.add_argument("--version", default="")
    for name, text in (
        ("drain", "take targets out of service"),
        ("undrain", "put targets back into service"),
    ):
        intents.add_parser(name, help=text).add_argument("target", nargs="+")
    _add_standing(intents)
    for verb in intents.choices.values():
        _add_client_options(verb)
        verb.set_defaults(run=commands.plan)
    for name, text, run in (
        ("confirm", "confirm a plan: only then does anything happen", commands.confirm),
        ("call-off", "call off the steps that have not begun", commands.call_off),
    ):
        verb = verbs.add_parser(name, help=text, description=text)
        verb.add_argument("plan", help="the plan's id")
        if name == "confirm":
            verb.add_argument("--follow", action="store_true", help="wait for its end")
        _add_client_options(verb)
        verb.set_defaults(run=run)


def _add_standing(intents) -> None:
    text = "let roles follow the mix inside bounds; --most-prefill 0 ends it"
    standing = intents.add_parser("standing", help=text, description=text)
    standing.add_argument("model")
    standing.add_argument("--least-prefill", type=int, default=0, metavar="N")
    standing.add_argument("--most-prefill", type=int, required=True, metavar="N")
    standing.add_argument("--changes-per-hour", type=int, default=6, metavar="N")
    standing.add_argument("--cooldown", type=float, default=60.0, metavar="S")
    standing.add_argument("--gain", type=float, default=0.1, metavar="SHARE")


def _add_queries(verbs) -> None:
    status = verbs.add_parser("status", help="show targets, roles, loads and plans")
    _add_client_options(status)
    status.set_defaults(run=commands.show_status)
    plans = verbs.add_parser("plans", help="show plans")
    plans.add_argument("plan", nargs="?", default="", help="one plan's id")
    _add_client_options(plans)
    plans.set_defaults(run=commands.show_plan)
    report = verbs.add_parser("report", help="reports")
    kinds = report.add_subparsers(dest="report", required=True, metavar="REPORT")
    burn = kinds.add_parser("burn", help="service-level burn by workspace and class")
    _add_client_options(burn)
    burn.set_defaults(run=commands.report_burn)


def _add_config(verbs) -> None:
    config = verbs.add_parser("config", help="check, publish or show configuration")
    kinds = config.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = kinds.add_parser("check", help="check files, start nothing")
    check.add_argument(
        "file", nargs="+", help="INI files, or TOML settings of the users' platform"
    )
    check.add_argument("--json", action="store_true")
    check.set_defaults(run=commands.check_config)
    publish = kinds.add_parser("publish", help="publish a document")
    publish.add_argument("file")
    _add_client_options(publish)
    publish.set_defaults(run=commands.publish_config)
    show = kinds.add_parser("show", help="show the document in force")
    _add_client_options(show)
    show.set_defaults(run=commands.show_config)


def _add_keys(verbs) -> None:
    keys = verbs.add_parser("keys", help="make keys")
    actions = keys.add_subparsers(dest="action", required=True, metavar="ACTION")
    new = actions.add_parser("new", help="make a key")
    kinds = new.add_subparsers(dest="kind", required=True, metavar="KIND")
    fleet = kinds.add_parser("fleet", help="key pair of all entries and agents")
    fleet.add_argument("file", help="file to write; must not exist")
    kinds.add_parser("workspace", help="bearer key and its digest")
    for verb in kinds.choices.values():
        verb.set_defaults(run=commands.make_keys)


def _add_explain(verbs) -> None:
    text = "tell a request's story from the logs of several processes"
    explain = verbs.add_parser("explain", help=text, description=text)
    explain.add_argument("request", help="the request's id")
    _add_log_files(explain)
    explain.set_defaults(run=commands.explain)
    text = "tell from gateways' logs what was lost to which reason"
    losses = verbs.add_parser("losses", help=text, description=text)
    _add_log_files(losses)
    losses.add_argument("--json", action="store_true", help="print JSON for programs")
    losses.set_defaults(run=commands.count_lost)
    text = "tell from gateways' logs how the usage of each window was reported"
    usage = verbs.add_parser("usage", help=text, description=text)
    _add_log_files(usage)
    usage.add_argument("--json", action="store_true", help="print JSON for programs")
    usage.set_defaults(run=commands.tell_usage)


def _add_preview(verbs) -> None:
    text = "tell where a gateway would send a request now, and why, without sending it"
    verb = verbs.add_parser("preview", help=text, description=text)
    verb.add_argument("gateway", help="IP:PORT of the gateway's metrics")
    verb.add_argument("host", help="the request's host")
    verb.add_argument("path", help="its path, with any query")
    verb.add_argument("--method", default="POST", help="its method; POST if not given")
    verb.add_argument(
        "--header", action="append", default=[], help="'Name: value'; may be repeated"
    )
    verb.add_argument("--key-file", default="", help="file with its bearer key")
    verb.add_argument("--json", action="store_true", help="print JSON for programs")
    verb.set_defaults(run=commands.preview)


def _add_log_files(verb) -> None:
    verb.add_argument("file", nargs="*", help="log files; standard input for none")


def _add_quarantine(verbs) -> None:
    text = "requests that gateways turn away because they crash targets"
    group = verbs.add_parser("quarantine", help=text, description=text)
    actions = group.add_subparsers(dest="action", required=True, metavar="ACTION")
    for name, text, run in (
        ("list", "list them, and the targets that they crashed", commands.quarantined),
        ("release", "let one run again", commands.release_quarantined),
    ):
        verb = actions.add_parser(name, help=text, description=text)
        verb.add_argument("settings", help="a gateway's settings file, TOML")
        if name == "release":
            verb.add_argument("fingerprint", help="its first digits, as listed")
        verb.add_argument("--json", action="store_true", help="print JSON for programs")
        verb.set_defaults(run=run)


def _add_client_options(verb: argparse.ArgumentParser) -> None:
    group = verb.add_argument_group("which entries, and as whom")
    group.add_argument("--settings", default="", help="INI file with [operator]")
    group.add_argument(
        "--entry", action="append", default=[], help="URL of an operators' listener"
    )
    group.add_argument("--key", default="", help="bearer key")
    group.add_argument("--key-file", default="", help="file with the bearer key")
    verb.add_argument("--json", action="store_true", help="print JSON for programs")


def _run_entry(args: argparse.Namespace) -> int:
    from robinspindle.entryprocess import run_entry

    return _run_process(args, "entry", run_entry)


def _run_agent(args: argparse.Namespace) -> int:
    from robinspindle.agent import run_agent

    return _run_process(args, "agent", run_agent)


def _run_gateway(args: argparse.Namespace) -> int:
    from robinspindle.platform.start import start_gateway
    from robinspindle.processsignals import hold_signals
    from robinspindle.standardstreams import open_missing_streams

    open_missing_streams()
    return start_gateway(
        args.settings,
        args.metrics_port,
        args.quiet,
        args.policy,
        signals=hold_signals(),
    )


def _run_process(args: argparse.Namespace, kind: str, run) -> int:
    from robinspindle.keys import read_fleet_key
    from robinspindle.logs import start_logs
    from robinspindle.settings import read_settings

    settings = read_settings(args.settings, kind)
    key = read_fleet_key(settings.key_file) if settings.secure else None
    start_logs()
    run(settings, key)
    return 0


def _print_version(args: argparse.Namespace) -> int:
    from robinspindle import __version__

    print(f"robinspindle {__version__}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
