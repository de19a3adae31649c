from robinspindle.core import engines, interference, prefillbacklog
from robinspindle.core.engines import make_engine
from robinspindle.core.forwarding import Part, Prompt


def test_prefill_beside_answers_is_limited_to_a_share_of_their_pauses():
    engine = make_engine(False, 100_000)
    allowed_s = engines.SHORT_PREFILL_SHARE * 0.2
    assert interference.may_prefill_beside(engine, 0.0, allowed_s, 0.2)
    assert not interference.may_prefill_beside(engine, 0.0, allowed_s * 1.01, 0.2)
    engine.peers_long_answers["g2"] = 1
    assert not interference.may_prefill_beside(engine, 0.0, allowed_s, 0.2)
    allowed_s = engine.prefill_share * 0.2
    assert interference.may_prefill_beside(engine, 0.0, allowed_s, 0.2)
    prefillbacklog.note_prefill_start(engine, 0.0, allowed_s, 1)
    assert not interference.may_prefill_beside(engine, 0.1, 0.01, 0.2)
    assert interference.may_prefill_beside(engine, 0.3, 0.01, 0.2)


def test_answer_at_risk_of_its_deadline_allows_shorter_pauses():
    prompt = Prompt("m", (Part("q", 200),), 200, 12_000, 5_900)
    allowed = interference.find_allowed_pause
    assert allowed(prompt, 0, 59, 15.0, 0.15) == 0.15
    assert allowed(prompt, 0, 59, 5.0, 0.15) == 0.05
    assert allowed(prompt, 50, 59, 2.5, 0.15) == 0.05
    # Beyond its guess, it is assumed to last a quarter of its length so far.
    assert allowed(prompt, 200, 59, 2.5, 0.15) == 0.05
    assert allowed(prompt, 200, 59, -1.0, 0.15) == 0.0


def test_late_events_lower_the_prefill_share_and_timely_ones_raise_it():
    engine = make_engine(False, 100_000)
    before = engine.prefill_share
    interference.note_long_pause(engine, 0.14, 0.15)
    assert engine.prefill_share < before
    for _ in range(200):
        interference.note_long_pause(engine, 0.02, 0.15)
    assert engine.prefill_share == interference.PREFILL_SHARE_BOUNDS[1]
    for _ in range(200):
        interference.note_long_pause(engine, 0.5, 0.15)
    assert engine.prefill_share == interference.PREFILL_SHARE_BOUNDS[0]


def test_prefill_beside_short_answers_follows_their_pauses():
    """Guards against a fixed prefill share, with which more short answers pause.

    At the usual load, 0.20 of the answers paused with a fixed share and 0.12 with one
    that follows the pauses.
    """
    engine = make_engine(False, 100_000)
    assert interference.may_prefill_beside(engine, 1.0, 0.08, 0.15)
    interference.note_short_pause(engine, 0.14, 0.15)
    for _ in range(4):
        interference.note_short_pause(engine, 0.2, 0.15)
    assert not interference.may_prefill_beside(engine, 1.0, 0.08, 0.15)
    for _ in range(100):
        interference.note_short_pause(engine, 0.05, 0.15)
    assert engine.short_prefill_share == engines.SHORT_PREFILL_SHARE


def test_engine_whose_answers_get_no_event_does_not_prefill():
    """Guards against endless prefill on an engine whose answers have stopped.

    A pause is recorded only when it ends. An engine three times as slow as estimated
    therefore prefilled without end, and its answers never received another event.
    """
    engine = make_engine(False, 100_000)
    interference.note_answer_begun(engine, 1.0)
    assert interference.may_prefill_beside(engine, 1.05, 0.01, 0.15)
    assert not interference.may_prefill_beside(engine, 1.2, 0.01, 0.15)
    # A second answer that begins does not hide that the first gets no event.
    interference.note_answer_begun(engine, 1.19)
    assert not interference.may_prefill_beside(engine, 1.2, 0.01, 0.15)
    interference.note_answer_event(engine, 1.2)
    assert interference.may_prefill_beside(engine, 1.21, 0.01, 0.15)
    interference.note_answer_ended(engine)
    interference.note_answer_ended(engine)
    assert interference.find_current_pause(engine, 9.0) == 0.0
