from robinspindle.core.retrydetection import RetryDetector


def test_caller_with_a_shorter_timeout_is_a_retry():
    detector = RetryDetector()
    assert not detector.note("a", 2.0)
    assert not detector.note("a", 1.99)
    assert detector.note("a", 1.6)
    assert not detector.note("b", 1.6)


def test_longest_timeout_of_a_route_is_updated():
    detector = RetryDetector()
    assert not detector.note("a", 1.0)
    assert not detector.note("a", 2.0)
    assert detector.note("a", 1.0)


def test_caller_without_a_timeout_is_no_retry():
    assert not RetryDetector().note("a", None)
