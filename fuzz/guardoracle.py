"""Judges gateways that guard targets: sent too late, turned away too soon."""

from fuzz.guardworld import Kind, World

KNOWN_CRASHES = 5
MOST_LATE = 3
"""Crashes after which a bad part has to be known, and requests that may still reach
targets then."""

CONTACT_S = 3.0
"""How long it may take until all know, seconds."""

MOST_TURNED_AWAY = 0.02
"""Share of sound requests that may be held back for a moment."""

KINDS = (
    Kind(),
    Kind(bad_per_s=60.0, targets=8),
    Kind(bad_per_s=1.0),
    Kind(bad_parts=3, targets=10),
    Kind(bad_per_s=4.0, own_crash_s=1.5),
    Kind(bad_per_s=4.0, has_faults=True),
    Kind(bad_per_s=4.0, has_faults=True, own_crash_s=2.0, gateways=7),
    Kind(bad_per_s=4.0, sound_per_s=2.0, has_company=True),
    Kind(bad_parts=4, sound_per_s=1.0, targets=12),
    Kind(bad_parts=0, own_crash_s=0.7),
    Kind(bad_parts=0, own_crash_s=0.4, targets=12, sound_per_s=5.0),
    Kind(bad_parts=0, own_crash_s=3.0, has_outage=True),
    Kind(bad_parts=0, own_crash_s=1.0, has_faults=True, has_outage=True),
)


def play_guards(seed: int, kinds: tuple[Kind, ...] = KINDS) -> tuple[str, ...]:
    """Play a seed of each kind; returns what was wrong."""
    faults = []
    for number, kind in enumerate(kinds):
        world = World(seed, kind)
        world.play()
        found = [*_judge_late(world), *_judge_blamed(world), *_judge_held(world)]
        faults += [f"kind {number}: {fault}" for fault in found]
    return tuple(faults)


def _judge_late(world: World) -> list[str]:
    faults = []
    for part, times in world.seen.crashes.items():
        if len(times) < KNOWN_CRASHES:
            continue
        known_at = times[KNOWN_CRASHES - 1] + CONTACT_S
        late = [
            arrival
            for arrival in world.seen.arrivals
            if arrival.part == part and arrival.is_judged and arrival.at > known_at
        ]
        if len(late) > MOST_LATE:
            faults.append(f"{part} was sent {len(late)} times more, {len(times)} ended")
    return faults


def _judge_blamed(world: World) -> list[str]:
    """Nothing sound stays in quarantine; without bad parts, none ever comes there."""
    if world.kind.bad_parts:
        blamed = world.list_quarantined()
    else:
        blamed = [entry for _, entry in world.seen.blamed]
    return [
        f"{entry.name or entry.fingerprint.hex()} is blamed"
        for entry in blamed
        if world.bad.isdisjoint(entry.cause.members)
    ]


def _judge_held(world: World) -> list[str]:
    last = max((t[-1] for t in world.seen.crashes.values()), default=0.0)
    calm = [held for at, held in world.seen.sound if at > last + 2 * CONTACT_S]
    held = sum(calm)
    if held > MOST_TURNED_AWAY * len(calm):
        return [f"{held} of {len(calm)} sound requests were turned away"]
    return []
