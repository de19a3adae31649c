"""Tests of smaller decisions: streams, claims, limits, retries, leases, burn, roles."""

import random

from robinspindle.core import burn, catchup, leases, limits, retries, roles, subsets
from robinspindle.core.claims import (
    Claim,
    ClaimTable,
    Outcome,
    Release,
    apply_claims,
    encode_claims,
)
from robinspindle.core.documents import (
    Configuration,
    FleetSection,
    PolicySection,
    WorkspaceSection,
)
from robinspindle.core.records import Renewal, Standing, Takeover
from robinspindle.core.state import Envelope, Lease, State, Target
from robinspindle.core.tokenbuffer import TokenBuffer, add_tokens
from robinspindle.messages import Fetch, Report

CLAIM = {"key": "k", "digest": "d", "target": "t", "incarnation": "i"}


def test_out_of_order_tokens_are_delivered_once_in_order():
    buffer = TokenBuffer(count=4)
    assert add_tokens(buffer, 2, ("c",)) == []
    assert buffer.has_gap
    assert add_tokens(buffer, 0, ("a", "b")) == ["a", "b", "c"]
    assert add_tokens(buffer, 1, ("b", "c", "d")) == ["d"]
    assert buffer.is_whole


def test_first_claim_of_a_key_wins_and_only_its_own_release_counts():
    table = ClaimTable()
    first = Claim(request="a", attempt=1, **CLAIM)
    second = Claim(request="b", attempt=1, **CLAIM)
    apply_claims(table, 0, encode_claims([first, second]))
    assert table.claimed["k"].claim == first
    apply_claims(table, 1, encode_claims([Release(key="k", request="b", attempt=1)]))
    assert "k" in table.claimed
    outcome = Outcome(key="k", request="a", attempt=1, status=200)
    apply_claims(table, 2, encode_claims([outcome]))
    apply_claims(table, 3, encode_claims([Release(key="k", request="a", attempt=1)]))
    assert table.claimed["k"].outcome == outcome
    assert apply_claims(table, 3, encode_claims([second])) == ()


def test_workspace_limit_is_divided_among_entries():
    configuration = Configuration(FleetSection(name="f", entries=2), PolicySection())
    workspace = WorkspaceSection(
        name="w", key_digest="0" * 64, requests_per_s=4, in_flight=100
    )
    usage = limits.WorkspaceLimits({})
    results = [limits.admit(usage, configuration, workspace, 0.0) for _ in range(6)]
    assert results[:4] == [0.0] * 4
    assert results[4] > 0
    assert limits.admit(usage, configuration, workspace, 0.5) == 0.0


def test_retries_are_limited_by_first_attempts_and_by_the_deadline():
    budget = retries.RetryBudget(share=0.5, left=0.0)
    retries.add_first_attempt(budget)
    assert not retries.take_retry(budget, 1, 10.0, 0.1)
    retries.add_first_attempt(budget)
    assert not retries.take_retry(budget, 1, 0.05, 0.1)
    assert retries.take_retry(budget, 1, 10.0, 0.1)
    assert not retries.take_retry(budget, 1, 10.0, 0.1)


def test_holder_renews_and_challenger_waits_for_the_lease_to_expire():
    lease = Lease("a", 5, 9)
    holder = leases.LeaseWatch("a", lease)
    renewal = leases.decide_lease(holder, 10.0, "x", random.Random(1))
    assert renewal == Renewal(id="x", holder="a", fence=5)
    challenger = leases.LeaseWatch("b")
    challenger.observe(10.0, lease)
    rng = random.Random(1)
    assert leases.decide_lease(challenger, 15.9, "y", rng) is None
    takeover = leases.decide_lease(challenger, 18.1, "y", rng)
    assert takeover == Takeover(id="y", holder="b", after=9)


def test_records_for_peers_have_no_gap():
    window = catchup.RecordWindow()
    for offset in range(5, 9):
        catchup.keep_record(window, offset, bytes([offset]))
    assert catchup.make_records(window, Fetch(after=6)).records == (b"\7", b"\10")
    assert catchup.make_records(window, Fetch(after=3)) is None
    assert catchup.decide_fetch(window, 1.0, 8, 9) is None
    assert catchup.decide_fetch(window, 1.6, 8, 9) == Fetch(after=8)


def test_burn_rate_of_one_uses_the_error_budget_exactly():
    ledger = burn.BurnCounts()
    subject = burn.ObjectiveKey("w", "chat")
    for number in range(100):
        burn.note_ended_request(
            ledger, subject, 30.0, "target t1" if number == 0 else ""
        )
    rows = burn.list_burn(ledger, 31.0, {"chat": 0.99})
    assert [round(row.rate, 6) for row in rows] == [1.0, 1.0, 1.0]
    merged = burn.merge_burn(rows + rows)
    assert merged[0].spenders == {"target t1": 2}
    assert round(merged[0].rate, 6) == 1.0


def test_subsets_are_stable_when_a_target_leaves():
    names = [f"t{number}" for number in range(40)]
    before = subsets.choose_subset("entry-1", names, 8)
    after = subsets.choose_subset("entry-1", names[1:], 8)
    assert len(set(before) - set(after)) <= 1


def decide(reports, now, watch):
    targets = {
        f"e{n}": Target(f"e{n}", "m", role="prefill" if n == 0 else "decode")
        for n in range(4)
    }
    state = State(targets=targets)
    intent = Standing(model="m", most_prefill=2, gain=0.1)
    named = dict.fromkeys(targets, reports)
    return roles.decide_role_change(watch, state, Envelope(intent, "p"), named, now)


def test_roles_change_only_for_a_lasting_gain():
    speed = {"target": "", "incarnation": "", "prefill_s": 0.0001, "step_s": 0.016}
    idle = Report(slots=8, **speed)
    busy = Report(slots=8, prompt_rate=5000.0, token_rate=100.0, **speed)
    watch = roles.PendingChanges()
    assert decide(idle, 0.0, watch) is None
    # Four times half an engine of prompts on one prefill target: twice too much.
    assert decide(busy, 1.0, watch) is None
    assert decide(busy, 1.0 + roles.SUSTAINED_S, watch) == ("e1", "prefill")
    # A return to the earlier load in between restarts the wait.
    assert decide(idle, 5.0, watch) is None
    assert decide(busy, 6.0, watch) is None
