import random

from robinspindle.core.routes import (
    Backend,
    CallerLimits,
    Route,
    choose_service,
    find_route,
    is_newer,
    make_table,
)

DEFAULT = (Backend("s"),)


def make_route(name, prefix, host="a.example", backends=DEFAULT):
    return Route(name, host, prefix, "idempotent", 1.0, 0.1, backends=backends)


def make(*routes, version=1):
    return make_table(version, routes, [], CallerLimits())


def test_the_longest_matching_prefix_of_the_host_is_chosen():
    table = make(
        make_route("short", "/a/"),
        make_route("long", "/a/b/"),
        make_route("other", "/a/b/", host="b.example"),
    )
    assert find_route(table, "a.example", "/a/b/c").name == "long"
    assert find_route(table, "A.example:80", "/a/bc").name == "short"
    assert find_route(table, "b.example", "/a/b/").name == "other"


def test_an_unknown_path_or_host_has_no_route():
    table = make(make_route("a", "/a/"))
    assert find_route(table, "a.example", "/a") is None
    assert find_route(table, "a.example", "/x/a/") is None
    assert find_route(table, "c.example", "/a/") is None


def test_services_are_chosen_by_weight_and_never_with_a_weight_of_zero():
    backends = (Backend("most", 9.0), Backend("few", 1.0), Backend("none", 0.0))
    route = make_route("a", "/a/", backends=backends)
    rng = random.Random(1)
    chosen = [choose_service(route, rng) for _ in range(1000)]
    assert chosen.count("none") == 0
    assert 50 < chosen.count("few") < 150


def test_a_route_without_services_chooses_none():
    assert choose_service(make_route("a", "/a/", backends=()), random.Random(1)) == ""


def test_versions_never_go_back():
    old, new = make(version=3), make(version=4)
    assert is_newer(old, None)
    assert is_newer(new, old)
    assert not is_newer(old, new)
    assert not is_newer(old, old)
