"""What one gateway sees of crashes, and decides about requests that cause them."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from robinspindle.core import crashes, quarantine
from robinspindle.core.crashes import Crash, CrashedRun
from robinspindle.core.fingerprints import (
    FingerprintedRequest,
    make_part_fingerprint,
)
from robinspindle.core.forwarding import Part, Prompt, Request
from robinspindle.core.quarantine import Standing
from robinspindle.core.targets import Announcement, Directory, Target, note_announced
from robinspindle.guard import (
    COMPANIONS_WAIT_S,
    HELD_BACK_RETRY_S,
    PEER_JUDGEMENT_WAIT_S,
    REASON,
    Guard,
)
from robinspindle.guardnews import list_news, take_news
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.lifetimechecks import LifetimeState
from robinspindle.recentanswers import CONFIRMATION_S

MINUTE_MS = 60_000


class Checks:
    """Stands for connections that are tried."""

    def __init__(self):
        self.answer = LifetimeState.ENDED

    async def check(self, target):
        return self.answer


class World:
    """A guard, its clock and six targets."""

    def __init__(self, is_keeper=True):
        self.now = 100.0
        self.lines = []
        self.directory = Directory()
        self.guard = Guard(
            self.directory,
            lambda: self.now,
            lambda text, **fields: self.lines.append((text, fields)),
            lambda fingerprint: 0 if is_keeper else 3,
            wall_ms=lambda: int(self.now * 1000),
        )
        self.guard.runs._checks = self.checks = Checks()
        for number in range(6):
            self.announce(f"i{number}")

    def announce(self, lifetime, **more):
        announced = Announcement(lifetime, "push", "127.0.0.1:9", "a", 6, **more)
        note_announced(self.directory, announced, self.now)
        return self.directory.targets[lifetime]

    async def break_off(self, named, target, seconds=0.01):
        """Have a sending to a target break."""
        with pytest.raises(ConnectionBrokenError):
            async with self.guard.runs.watch(named, target, "route"):
                self.now += seconds
                raise ConnectionBrokenError("reset")

    async def crash_under(self, named, *numbers):
        for number in numbers:
            await self.break_off(named, self.directory.targets[f"i{number}"])

    def settle(self, seconds=COMPANIONS_WAIT_S):
        self.now += seconds + 0.01
        self.guard.settle(self.now)


def name(body=b"crash", target=b"/safe/x", host="shop", caller=b"", method="POST"):
    request = Request("r1", method, target, host, (), body, 2.0, 0.0, caller=caller)
    return FingerprintedRequest(request)


def test_a_request_is_named_by_what_it_asks_for():
    assert name().fingerprint == name(host="SHOP").fingerprint
    others = [
        name(body=b"another"),
        name(target=b"/safe/x?page=2"),
        name(host="other"),
        name(caller=b"Bearer k"),
        name(method="PUT"),
    ]
    assert len({name().fingerprint, *(other.fingerprint for other in others)}) == 6


def test_after_three_crashes_it_is_held_back_and_then_in_quarantine():
    async def play():
        world = World()
        await world.crash_under(name(), 0, 1)
        assert world.guard.find_refusal(name()) is None
        await world.crash_under(name(), 2)
        held = world.guard.find_refusal(name())
        assert (held.status, held.reason) == (503, REASON)
        assert held.retry_s == HELD_BACK_RETRY_S
        world.settle()
        assert world.guard.find_refusal(name()).retry_s > 60
        assert world.guard.find_refusal(name(b"another")) is None

    asyncio.run(play())


@pytest.mark.parametrize("life", [LifetimeState.RUNNING, LifetimeState.UNKNOWN])
def test_a_reset_of_a_target_that_lives_is_no_crash(life):
    async def play():
        world = World()
        world.checks.answer = life
        await world.crash_under(name(), 0, 1, 2, 3)
        assert not world.guard.evidence.crashes_by_suspect

    asyncio.run(play())


def test_a_planned_end_is_no_crash():
    async def play():
        world = World()
        for number in range(4):
            target = world.announce(f"leaving{number}", leaving=True)
            await world.break_off(name(), target)
        assert not world.guard.evidence.crashes_by_suspect

    asyncio.run(play())


def test_a_target_that_started_again_under_its_id_has_crashed():
    """Its address takes connections again before anybody looks."""

    async def play():
        world = World()
        world.checks.answer = LifetimeState.RUNNING
        target = world.announce("j1@5")
        await world.break_off(name(), target)
        assert not world.guard.evidence.crashes_by_suspect
        world.guard.runs.note_life_over(target)
        assert crashes.count_crashes(world.guard.evidence, name().fingerprint) == 1

    asyncio.run(play())


def test_a_target_behind_a_cut_that_turns_out_to_be_gone_has_crashed():
    async def play():
        world = World()
        world.checks.answer = LifetimeState.UNKNOWN
        await world.crash_under(name(), 0)
        world.checks.answer = LifetimeState.ENDED
        await world.guard.runs._recheck(world.guard.runs._pending[0])
        assert crashes.count_crashes(world.guard.evidence, name().fingerprint) == 1

    asyncio.run(play())


def test_a_run_that_ended_well_clears_and_tells_the_peers():
    async def play():
        world = World()
        await world.crash_under(name(), 0, 1)
        target = world.directory.targets["i3"]
        async with world.guard.runs.watch(name(), target, "route") as run:
            pass
        world.guard.note_success(run)
        assert world.guard.evidence.crashes_by_suspect
        world.settle(CONFIRMATION_S)
        assert not world.guard.evidence.crashes_by_suspect
        (cleared,) = list_news(world.guard, world.now).cleared
        assert cleared.fingerprint == name().fingerprint
        assert cleared.ago_ms == pytest.approx(CONFIRMATION_S * 1000, abs=20)

    asyncio.run(play())


def test_a_long_body_is_not_read_where_nothing_like_it_is_suspected():
    async def play():
        world = World()
        named = name(b"x" * 100_000)
        target = world.directory.targets["i3"]
        async with world.guard.runs.watch(named, target, "route") as run:
            pass
        world.guard.note_success(run)
        world.settle(CONFIRMATION_S)
        assert world.guard.find_refusal(named) is None
        assert "fingerprint" not in vars(named)

    asyncio.run(play())


def test_a_suspect_runs_once_at_a_time_and_apart_from_other_suspects():
    async def play():
        world = World()
        await world.crash_under(name(), 0, 1)
        await world.crash_under(name(b"other"), 0, 1)
        target = world.directory.targets["i4"]
        async with world.guard.runs.watch(name(), target, "route"):
            assert world.guard.find_refusal(name()).retry_s == HELD_BACK_RETRY_S
            assert world.guard.find_refusal(name(b"other")) is None
            assert world.guard.list_avoided(name(b"other")) == {"i4"}
            assert world.guard.list_avoided(name(b"innocent")) == set()

    asyncio.run(play())


def test_what_waits_is_broken_off_and_what_runs_is_not():
    async def play():
        world = World()
        stopped = []
        target = world.directory.targets["i4"]
        async with (
            world.guard.runs.watch(name(), target, "route") as waiting,
            world.guard.runs.watch(name(), target, "route") as running,
            world.guard.runs.watch(name(b"other"), target, "route") as other,
        ):
            waiting.stop = lambda: stopped.append("waiting")
            other.stop = lambda: stopped.append("other")
            assert running.stop is None
            for number in range(3):
                crash = Crash(
                    f"p{number}",
                    "push",
                    world.now,
                    {name().fingerprint: CrashedRun(0.1)},
                )
                world.guard.take_crash(crash)
        assert stopped == ["waiting"]

    asyncio.run(play())


def make_crash(number, world):
    runs = {name().fingerprint: CrashedRun(0.1)}
    return Crash(f"p{number}", "push", world.now, runs)


def quarantine_it(world):
    for number in range(3):
        world.guard.take_crash(make_crash(number, world))
    world.settle(4 * PEER_JUDGEMENT_WAIT_S)


def test_who_saw_no_crash_waits_for_the_judgement_of_one_that_did():
    world = World()
    for number in range(3):
        world.guard.take_crash(make_crash(number, world))
    world.settle()
    assert world.guard.find_refusal(name()).retry_s == HELD_BACK_RETRY_S
    assert not world.guard.quarantine.entries
    # The one that did has died.
    world.settle(PEER_JUDGEMENT_WAIT_S)
    assert world.guard.quarantine.entries


def test_a_trial_is_given_once_after_a_while_by_one_gateway():
    world, other = World(), World(is_keeper=False)
    for each in (world, other):
        quarantine_it(each)
        each.now += quarantine.FIRST_TRIAL_DELAY_S + 1
    assert other.guard.find_refusal(name()) is not None
    tried = name()
    assert world.guard.find_refusal(tried) is None
    assert tried.is_trial
    assert world.guard.find_refusal(name()) is not None


def test_a_trial_that_ends_well_releases():
    async def play():
        world = World()
        quarantine_it(world)
        world.now += quarantine.FIRST_TRIAL_DELAY_S + 1
        named = name()
        assert world.guard.find_refusal(named) is None
        target = world.directory.targets["i4"]
        async with world.guard.runs.watch(named, target, "route") as run:
            pass
        world.guard.note_success(run)
        world.settle(CONFIRMATION_S)
        assert world.guard.find_refusal(name()) is None
        (told,) = list_news(world.guard, world.now).quarantine
        assert told.standing == Standing.RELEASED.value

    asyncio.run(play())


def test_a_trial_that_crashes_a_target_is_followed_by_three_at_the_most():
    async def play():
        world = World()
        quarantine_it(world)
        trials = 0
        for minute in range(200):
            named = name()
            if world.guard.find_refusal(named) is None:
                trials += 1
                await world.break_off(named, world.announce(f"t{minute}"))
                assert world.guard.find_refusal(named) is not None
                world.settle()
            world.now += 60.0
        assert trials == quarantine.MAX_TRIALS

    asyncio.run(play())


def test_peers_put_their_evidence_together():
    """The third crash is seen at three gateways, one each."""

    async def play():
        worlds = [World() for _ in range(3)]
        for number, world in enumerate(worlds):
            await world.crash_under(name(), number)
        for sender in worlds:
            news = list_news(sender.guard, sender.now)
            for receiver in worlds:
                if receiver is not sender:
                    take_news(receiver.guard, news, receiver.now)
        for world in worlds:
            assert world.guard.find_refusal(name()) is not None

    asyncio.run(play())


def test_news_are_told_four_times_and_then_dropped():
    async def play():
        world = World()
        await world.crash_under(name(), 0)
        told = 0
        for _ in range(50):
            told += len(list_news(world.guard, world.now).crashes)
            world.now += 0.05
        assert told == 4
        assert not world.guard.pending_updates.own_runs

    asyncio.run(play())


def test_a_target_that_is_watched_by_nobody_costs_nothing():
    world = World()
    assert world.guard.find_refusal(name()) is None
    assert isinstance(world.directory.targets["i0"], Target)
    news = list_news(world.guard, world.now)
    assert not (news.crashes or news.cleared or news.quarantine)


def name_prompt(id, *parts):
    prompt = Prompt("m", tuple(Part(one, 100) for one in (*parts, id)), 400, 10)
    request = Request(id, "POST", b"/chat/x", "shop", (), id.encode(), 2.0, 0.0, prompt)
    return FingerprintedRequest(request)


def find_part(id):
    named = name_prompt("any", id)
    return make_part_fingerprint(named.part_head, id)


async def crash_under_part(world, part, *numbers, beside=()):
    """Have targets crash under requests of which no two are alike."""
    for number in numbers:
        named = name_prompt(f"own{number}-{world.now}", *beside, part)
        await world.break_off(named, world.directory.targets[f"i{number}"])
        world.now += 1.0


@asynccontextmanager
async def answer(world, named, lifetime="i4", lived_s=0.0):
    """Have a target write an answer."""
    target = world.directory.targets[lifetime]
    async with world.guard.runs.watch(named, target, "route") as run:
        run.began_at = world.now
        world.now += lived_s
        target.liveness.heard_at = world.now
        yield run


def test_part_that_crashed_three_targets_is_rejected_in_any_request():
    async def play():
        world = World()
        await crash_under_part(world, "bad", 0, 1)
        assert world.guard.find_refusal(name_prompt("new", "bad")) is None
        await crash_under_part(world, "bad", 2)
        new = name_prompt("another", "head", "bad", "more")
        assert world.guard.find_refusal(new).retry_s == HELD_BACK_RETRY_S
        world.settle()
        assert world.guard.find_refusal(new).retry_s > 60
        assert world.guard.find_refusal(name_prompt("x", "head", "more")) is None
        (entry,) = world.guard.quarantine.entries.values()
        assert entry.fingerprint == find_part("bad")
        assert entry.name == "part bad of prompts for m"

    asyncio.run(play())


def test_last_part_and_same_id_of_another_model_are_not_rejected():
    async def play():
        world = World()
        await crash_under_part(world, "bad", 0, 1, 2)
        world.settle()
        assert world.guard.find_refusal(name_prompt("bad", "head")) is None
        other = name_prompt("x", "bad").request
        other = replace(other, prompt=replace(other.prompt, model="other"))
        assert world.guard.find_refusal(FingerprintedRequest(other)) is None

    asyncio.run(play())


def test_ids_are_compared_as_they_are_spelled():
    named = name_prompt("x", "0a", "a", "A", "a" * 5000)
    assert len(named.parts) == 4


def test_answer_whose_target_crashes_right_after_its_end_clears_nothing():
    async def play():
        world = World()
        for number in (0, 1, 2):
            named = name_prompt(f"own{number}", "bad")
            async with answer(world, named, f"i{number}") as run:
                pass
            world.guard.note_success(run)
            victim = name_prompt(f"victim{number}", f"good{number}")
            await world.break_off(victim, world.directory.targets[f"i{number}"])
            world.settle(CONFIRMATION_S)
        assert world.guard.find_refusal(name_prompt("new", "bad")) is not None

    asyncio.run(play())


def test_long_answer_that_goes_on_clears_its_parts_before_its_end():
    async def play():
        world = World()
        await crash_under_part(world, "shared", 0, 1, 2)
        assert world.guard.find_refusal(name_prompt("new", "shared")) is not None
        async with answer(world, name_prompt("long", "shared"), lived_s=0.6):
            world.guard.settle(world.now)
            assert world.guard.find_refusal(name_prompt("new", "shared")) is None

    asyncio.run(play())


def test_answer_of_a_target_that_fell_silent_clears_nothing():
    async def play():
        world = World()
        await crash_under_part(world, "bad", 0, 1, 2)
        async with answer(world, name_prompt("long", "bad"), lived_s=0.1):
            world.now += 10.0
            world.guard.settle(world.now)
            assert world.guard.find_refusal(name_prompt("new", "bad")) is not None

    asyncio.run(play())


def test_success_of_a_companion_leaves_the_other_part_rejected():
    async def play():
        world = World()
        await crash_under_part(world, "bad", 0, 1, 2, beside=("shared",))
        world.settle()
        both = name_prompt("new", "shared", "bad")
        assert world.guard.find_refusal(both).retry_s > 60
        named = name_prompt("good", "shared")
        assert world.guard.find_refusal(named) is None
        async with answer(world, named) as run:
            pass
        world.guard.note_success(run)
        world.settle(CONFIRMATION_S)
        world.settle()
        assert world.guard.find_refusal(name_prompt("x", "shared")) is None
        assert world.guard.find_refusal(name_prompt("x", "bad")) is not None

    asyncio.run(play())


def test_gateway_that_knows_better_tells_it_to_the_one_that_blames():
    async def play():
        blaming, knowing = World(), World()
        async with answer(knowing, name_prompt("good", "head")) as run:
            pass
        knowing.guard.note_success(run)
        knowing.settle(CONFIRMATION_S)
        blaming.now = knowing.now
        await crash_under_part(blaming, "head", 0, 1)
        news = list_news(blaming.guard, blaming.now)
        take_news(knowing.guard, news, blaming.now)
        answer_news = list_news(knowing.guard, knowing.now)
        told = {one.fingerprint for one in answer_news.cleared}
        assert find_part("head") in told
        take_news(blaming.guard, answer_news, blaming.now)
        assert find_part("head") in blaming.guard.evidence.successes

    asyncio.run(play())


def test_waiting_requests_with_a_part_are_broken_off_when_it_is_blamed():
    async def play():
        world = World()
        stopped = []
        async with (
            world.guard.runs.watch(
                name_prompt("waits", "bad"), world.directory.targets["i4"], "route"
            ) as waiting,
            world.guard.runs.watch(
                name_prompt("good", "head"), world.directory.targets["i4"], "route"
            ) as other,
        ):
            waiting.stop = lambda: stopped.append("waiting")
            other.stop = lambda: stopped.append("other")
            await crash_under_part(world, "bad", 0, 1, 2)
        assert stopped == ["waiting"]

    asyncio.run(play())


def test_prompt_of_thousands_of_parts_that_crash_nothing_is_not_hashed():
    world = World()
    named = name_prompt("x", *(f"part{n}" for n in range(5000)))
    assert world.guard.find_refusal(named) is None
    assert "parts" not in vars(named)


def test_release_of_a_part_lets_it_run_everywhere():
    async def play():
        world = World()
        await crash_under_part(world, "bad", 0, 1, 2)
        world.settle()
        (entry,) = world.guard.quarantine.entries.values()
        world.guard.merge_entry(quarantine.release(entry, int(world.now * 1000)))
        assert world.guard.find_refusal(name_prompt("new", "bad")) is None

    asyncio.run(play())


def test_verdict_that_crossed_a_success_is_withdrawn():
    async def play():
        world, other = World(), World()
        await crash_under_part(other, "shared", 0, 1, 2)
        async with answer(world, name_prompt("good", "shared")) as run:
            world.now = other.now + 0.2
        world.guard.note_success(run)
        world.settle(CONFIRMATION_S)
        other.settle()
        take_news(world.guard, list_news(other.guard, other.now), world.now)
        world.guard.settle(world.now)
        assert not quarantine.list_quarantined(world.guard.quarantine)
        assert world.guard.find_refusal(name_prompt("new", "shared")) is None

    asyncio.run(play())


def test_part_that_others_explain_is_released():
    async def play():
        world = World()
        bad = ("bad0", "bad1", "bad2")
        for number, part in enumerate(bad):
            await crash_under_part(world, part, number, beside=("shared",))
        world.settle()
        assert world.guard.find_refusal(name_prompt("new", "shared")) is not None
        for round, part in enumerate(bad):
            for number in (3, 4, 5):
                lifetime = f"j{round}{number}"
                world.announce(lifetime)
                named = name_prompt(f"own{lifetime}", part)
                await world.break_off(named, world.directory.targets[lifetime])
                world.now += 1.0
            world.settle()
        world.settle()
        assert world.guard.find_refusal(name_prompt("new", "shared")) is None
        assert world.guard.find_refusal(name_prompt("new", "bad1")) is not None

    asyncio.run(play())
