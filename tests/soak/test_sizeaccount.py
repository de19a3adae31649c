from soak.sizeaccount import Ended, SizeAccount


def account_for(served_by_tokens):
    ended = [Ended("k", n, served, "") for n, served in enumerate(served_by_tokens)]
    return SizeAccount(ended)


def test_a_kind_whose_largest_are_served_less_than_half_as_often_is_short():
    rates = account_for([True] * 180 + [False] * 20).find_rates()["k"]
    assert (rates.all, rates.largest, rates.next) == (0.9, 0.0, 1.0)
    assert rates.is_short


def test_the_fifth_beneath_counts_by_itself():
    rates = account_for([True] * 140 + [False] * 40 + [True] * 20).find_rates()["k"]
    assert (rates.largest, rates.next) == (1.0, 0.0)
    assert rates.is_short


def test_what_a_fault_broke_off_does_not_count():
    account = account_for([True] * 200)
    account.ended += [Ended("k", 900, False, "closed", by_fault=True)] * 40
    assert account.find_rates()["k"].asked == 200
    assert not account.find_rates()["k"].is_short


def test_a_kind_with_few_requests_is_not_judged():
    assert not account_for([True] * 30 + [False] * 5).find_rates()["k"].is_short
