"""The demo: both users' kinds of work through a whole deployment on this machine."""

import json
import sys
import time

from benches.chats import make_answer, send_chat
from robinspindle import cli
from standins.fleet import Fleet, start_fleet

RULEBOOK = "Every order is read against the rulebook of its availability zone. " * 40
DISCLOSURE = "Item 7. Management's discussion of results and of liquidity. " * 60


def main() -> int:
    """Run the demo; 0 only if every answer came whole."""
    whole = True
    for sample, work in (("haddad", _show_haddad), ("franchise", _show_franchise)):
        print(f"\n=== {sample}: starting stand-ins, two entries and nine agents")
        begun = time.monotonic()
        fleet = start_fleet(sample)
        try:
            print(f"    serving after {time.monotonic() - begun:.1f} s\n")
            whole &= work(fleet)
            _show_reports(fleet)
        finally:
            fleet.close()
    print("\nevery answer came whole" if whole else "\nan answer was not whole")
    return 0 if whole else 1


def _show_haddad(fleet: Fleet) -> bool:
    model = "investor-70b"
    return all(
        [
            _chat(fleet, 0, "filing-digest", model, DISCLOSURE, 16),
            _chat(fleet, 1, "ticker-chat", model, "How is my holding today?", 48),
            _notify(fleet, "alert-push", "notification", "alert-1"),
        ]
    )


def _show_franchise(fleet: Fleet) -> bool:
    model = "dispatch-30b"
    return all(
        [
            _chat(fleet, 0, "zone-assignment", model, RULEBOOK, 12, key="order-1"),
            _chat(fleet, 1, "zone-assignment", model, RULEBOOK, 12, key="order-1"),
            _chat(fleet, 1, "rider-notes", model, "Write the rider a note.", 40),
            _notify(fleet, "courier-pings", "messaging", "ping-1"),
        ]
    )


def _chat(
    fleet: Fleet,
    entry: int,
    workspace: str,
    model: str,
    text: str,
    tokens: int,
    key: str = "",
) -> bool:
    headers = {"Authorization": f"Bearer demo-{workspace}"}
    if key:
        headers["Idempotency-Key"] = key
    begun = time.monotonic()
    url = fleet.callers[entry]
    response = send_chat(fleet.http, url, model, text, tokens, headers)
    answer = _read_events(response.data.decode())
    is_whole = answer == make_answer(text, tokens)
    seconds = time.monotonic() - begun
    note = f" (key {key})" if key else ""
    print(f"{workspace}{note} through entry {entry + 1}: {seconds:.2f} s")
    print(f"    {answer[:70]}... {'whole' if is_whole else 'NOT WHOLE'}")
    return is_whole


def _read_events(text: str) -> str:
    if not text.endswith("data: [DONE]\n\n"):
        return ""
    parts = []
    for line in text.splitlines():
        if line.startswith("data: {"):
            choice = json.loads(line[6:])["choices"][0]
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts)


def _notify(fleet: Fleet, workspace: str, service: str, key: str) -> bool:
    """Send the same notification through both entries: it must run once."""
    headers = {"Authorization": f"Bearer demo-{workspace}", "Idempotency-Key": key}
    answers = [
        fleet.http.request(
            "POST",
            f"{url}/services/{service}/send",
            body=b"price moved",
            headers=headers,
        )
        for url in fleet.callers
    ]
    targets = [n for n, t in fleet.configuration.targets.items() if t.service]
    runs = sum(len(fleet.read_journal(target)) for target in targets)
    print(f"{workspace} (key {key}) sent through both entries: ran {runs} time")
    return runs == 1 and all(answer.status == 200 for answer in answers)


def _show_reports(fleet: Fleet) -> None:
    options = ["--key", "demo-operators"]
    for url in fleet.operators:
        options += ["--entry", url]
    print()
    cli.main(["status", *options])
    print()
    cli.main(["report", "burn", *options])


if __name__ == "__main__":
    sys.exit(main())
