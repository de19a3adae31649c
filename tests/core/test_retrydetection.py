from robinspindle.core.retrydetection import RetryDetector


def test_who_has_less_time_than_others_comes_back():
    patience = RetryDetector()
    assert not patience.note("a", 2.0)
    assert not patience.note("a", 1.99)
    assert patience.note("a", 1.6)
    assert not patience.note("b", 1.6)


def test_a_route_whose_callers_become_more_patient_is_learnt():
    patience = RetryDetector()
    assert not patience.note("a", 1.0)
    assert not patience.note("a", 2.0)
    assert patience.note("a", 1.0)


def test_who_does_not_say_how_long_is_taken_as_new():
    assert not RetryDetector().note("a", None)
