from robinspindle.core.ratelimits import note_answer


def test_limit_holds_until_an_answer_to_a_later_request_names_none():
    limit = note_answer(None, 9.5, sent_at=0.5, now=1.0)
    assert limit.per_s == 9.5
    assert note_answer(limit, None, sent_at=0.9, now=1.2) is limit
    assert note_answer(limit, 4.0, sent_at=0.9, now=1.2).per_s == 4.0
    assert note_answer(limit, None, sent_at=1.1, now=1.3) is None
