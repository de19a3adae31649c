from hypothesis import given
from hypothesis import strategies as st

from robinspindle.core.retrywindows import (
    WindowedRetryBudget,
    count_request,
    take_retry,
)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 60.0), st.sampled_from(["request", "repeat"])),
        max_size=200,
    ),
    st.integers(1, 6),
)
def test_all_gateways_together_stay_within_the_budget(events, gateways):
    """This holds for each window, in any order of events and for any gateway."""
    ratio, slack, window = 0.2, 6.0, 10.0
    budgets = [
        WindowedRetryBudget(ratio, slack / gateways, window) for _ in range(gateways)
    ]
    requests, retries = [], []
    for number, (now, kind) in enumerate(sorted(events)):
        budget = budgets[number % gateways]
        if kind == "request":
            count_request(budget, now, "s")
            requests.append(now)
        elif take_retry(budget, now, "s"):
            retries.append(now)
    for end in retries:
        taken = sum(end - window < at <= end for at in retries)
        offered = sum(end - window <= at <= end for at in requests)
        assert taken <= ratio * offered + slack


def test_each_service_has_its_own_budget():
    budget = WindowedRetryBudget(0.2, 1.0, 10.0)
    assert take_retry(budget, 0.0, "a")
    assert not take_retry(budget, 0.0, "a")
    assert take_retry(budget, 0.0, "b")


def test_the_window_slides():
    budget = WindowedRetryBudget(0.2, 1.0, 10.0)
    assert take_retry(budget, 0.0, "a")
    assert not take_retry(budget, 9.9, "a")
    assert take_retry(budget, 10.0, "a")
