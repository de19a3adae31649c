"""Odd records for the topics that gateways read: long, deep, large, by a seed."""

import json
import random

DEEP = 5000
DIGITS = "9" * 5000
TOPICS = ("keyed.servers", "keyed.gateways", "keyed.op")

ODD_VALUES = (
    "[" * DEEP + "]" * DEEP,
    '{"a":' * DEEP + "1" + "}" * DEEP,
    DIGITS,
    "-" + DIGITS,
    "1e400",
    '"' + "x" * 50_000 + '"',
    '"127.0.0.1:' + DIGITS + '"',
    '"127.0.0.1:' + "0" * 5000 + '80"',
    '"\\ud800"',
    "null",
    "true",
    "[]",
)


def draw_record(rng: random.Random, entry: dict[str, object]) -> tuple[str, str, bytes]:
    """Draw a topic, a key and a value that names nothing to use.

    Args:
        rng: Draws them.
        entry: A sound entry of a replica, of which fields are spoiled.
    """
    topic, key = rng.choice(TOPICS), f"odd-{rng.randrange(4)}"
    if topic == "keyed.gateways":
        number = rng.choice([DIGITS, "-1", "1e400", "0" * 5000 + "1", "x" * 5000])
        return topic, key, f"127.0.0.1:{number} a {number}".encode()
    fields = {name: json.dumps(value) for name, value in entry.items()}
    for name in rng.sample(sorted(fields), rng.randint(1, 2)):
        fields[name] = rng.choice(ODD_VALUES)
    fields["Unknown"] = rng.choice(ODD_VALUES)
    text = ",".join(f'"{name}":{value}' for name, value in fields.items())
    return topic, key, b"{" + text.encode() + b"}"
