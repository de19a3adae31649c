"""Tells the story of one request from the logs of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from robinspindle.core.decoding import make_json_decoder
from robinspindle.exceptions import BadDocumentError

ROUTED = "request routed"
UNDELIVERED = "target did not deliver"
CRASHED = "target crashed under a request"
TURNED_AWAY = "request turned away"
ENDED = "request ended"

PLAIN_FIELDS = (
    "route",
    "configuration",
    "target",
    "reader",
    "holder",
    "wait_ms",
    "first_ms",
    "read_ms",
    "held_ms",
    "left_ms",
    "unread",
    "list_age_ms",
    "peers_age_ms",
    "store_away",
    "events",
    "error",
    "fingerprint",
    "crashes_met",
    "subject",
    "seconds",
    "held_back",
    "outcome",
)


@dataclass(frozen=True)
class Line:
    """One log line.

    Attributes:
        node: The process that wrote it.
        at: Its steady clock, seconds; only comparable within one process's life.
        timestamp: Time of day, seconds; may be off by seconds.
        text: What happened.
        request: Id of the request, empty for none.
        fields: All fields.
    """

    node: str
    at: float
    timestamp: float
    text: str
    request: str
    fields: dict[str, object]


@dataclass
class Story:
    """What the logs say of one request.

    Attributes:
        id: The request's id.
        lines: Its lines in order.
        causes: What decided its end, the last cause first.
        missing: What the logs should hold and do not.
    """

    id: str
    lines: list[Line] = field(default_factory=list)
    causes: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


_decode_line = make_json_decoder(Any)


def read_lines(texts: Iterable[str]) -> Iterable[Line]:
    """Read log lines; what stands before the first brace is passed over.

    Lines that are no JSON objects are passed over too: other programs may write to
    the same file.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = _decode_line(text[start:])
        except BadDocumentError:
            continue
        if isinstance(fields, dict) and "text" in fields:
            yield _make_line(fields)


def tell_story(id: str, lines: Iterable[Line]) -> Story:
    """Tell the story of a request.

    Args:
        id: The request's id.
        lines: The lines of all processes, in any order.
    """
    story = Story(id)
    left_out = False
    for line in lines:
        left_out |= line.text == "lines left out"
        if line.request == id:
            story.lines.append(line)
    # One process takes an attempt in; its steady clock orders the lines.
    story.lines.sort(key=lambda line: (line.node, line.at or line.timestamp))
    _find_causes(story)
    _find_missing(story, left_out)
    return story


def format_story(story: Story) -> str:
    """Lay a story out for people."""
    parts = [f"request {story.id}"]
    begun_at = story.lines[0].at if story.lines else 0.0
    for line in story.lines:
        told = [
            f"{name}={line.fields[name]}"
            for name in PLAIN_FIELDS
            if line.fields.get(name) not in (None, "", {})
        ]
        after_ms = (line.at - begun_at) * 1000
        parts.append(f"  {line.node} +{after_ms:.1f} ms  {line.text}: {' '.join(told)}")
    parts += [f"cause: {cause}" for cause in story.causes]
    parts += [f"missing: {text}" for text in story.missing]
    return "\n".join(parts)


def _make_line(fields: dict[str, object]) -> Line:
    at = fields.get("at")
    timestamp = fields.get("timestamp")
    return Line(
        node=str(fields.get("node", "?")),
        at=float(at) if isinstance(at, int | float) else 0.0,
        timestamp=float(timestamp) if isinstance(timestamp, int | float) else 0.0,
        text=str(fields["text"]),
        request=str(fields.get("request", "")),
        fields=fields,
    )


def _find_causes(story: Story) -> None:
    for line in reversed(story.lines):
        if line.text == ENDED:
            story.causes.append(_explain_end(line.fields))
        elif line.text == UNDELIVERED:
            target, error = line.fields.get("target"), line.fields.get("error")
            story.causes.append(f"target {target} did not deliver: {error}")
        elif line.text == CRASHED:
            target, met = line.fields.get("target"), line.fields.get("crashes_met")
            story.causes.append(f"target {target} crashed under it, the {met}. so far")
        elif line.text == TURNED_AWAY:
            story.causes.append(
                "what it asks for crashed its targets before: see 'robinspindle "
                f"quarantine list', {line.fields.get('fingerprint')}"
            )
        elif line.text == "refused":
            story.causes.append(f"refused before routing: {line.fields.get('reason')}")


def _explain_end(fields: dict[str, object]) -> str:
    outcome = str(fields.get("outcome", ""))
    wait, planned = fields.get("wait_ms"), fields.get("planned_ms")
    if outcome.endswith("busy"):
        return (
            f"refused unsent: {wait} ms of other prompts were believed to be ahead and "
            f"the first event was expected after {planned} ms"
        )
    if outcome == "delivered":
        first, held = fields.get("first_ms"), fields.get("held_ms")
        return f"delivered: first byte after {first} ms, whole after {held} ms"
    if outcome.startswith("refused 502"):
        return "unknown outcome: a target may have run it and it may not run again"
    return outcome


def _find_missing(story: Story, left_out: bool) -> None:
    texts = {line.text for line in story.lines}
    if not texts:
        story.missing.append("no line names this request in these files")
    elif not texts & {ENDED, "refused"}:
        story.missing.append(
            "no line tells its end: the process was killed, or its log is cut"
        )
    elif ENDED in texts and not texts & {ROUTED, TURNED_AWAY}:
        story.missing.append("no line tells its routing")
    if left_out:
        story.missing.append("some lines were left out for their number")
