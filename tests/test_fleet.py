import pytest

from robinspindle.core import health, targets
from robinspindle.core.peerdigests import TargetLoad
from robinspindle.core.priorities import LEVELS
from robinspindle.core.returns import RESTART_S
from robinspindle.core.routes import CallerLimits, EngineSpec, Service, make_table
from robinspindle.core.targets import Announcement, Directory
from robinspindle.core.targetspeeds import SpeedSums
from robinspindle.fleet import UNKNOWN_ENGINE, Fleet
from robinspindle.platform.dialect import decode_answer


def make_fleet():
    fleet = Fleet(Directory(), decode_answer)
    engine = EngineSpec(8, 5000, 5.0, 3.0)
    services = [Service("lm", "/h", 80, engine), Service("push", "/h", 80)]
    announce(fleet, "d1", "decode")
    announce(fleet, "p1", "prefill")
    fleet.apply_table(make_table(1, [], services, CallerLimits()), 0.0)
    return fleet


def announce(fleet, lifetime, role, **more):
    announced = Announcement(lifetime, "lm", "1.2.3.4:5", "a", 8, role=role, **more)
    targets.note_announced(fleet.directory, announced, 0.0)


def names(fleet, now):
    found = fleet.list_engines("lm", now)
    return sorted(target.announced.lifetime for target, _ in found)


def test_an_engine_that_changes_its_role_is_in_none_until_its_entry_says_so():
    fleet = make_fleet()
    fleet.note_switching("d1", "prefill", 0.0)
    assert names(fleet, 0.1) == ["p1"]
    announce(fleet, "d1", "prefill")
    assert names(fleet, 0.2) == ["d1", "p1"]
    assert fleet.find_engine_of("d1").prefill_only


def test_an_order_that_has_no_effect_is_given_up_and_may_be_given_again():
    fleet = make_fleet()
    fleet.note_switching("d1", "prefill", 0.0)
    late = 3.0 + health.SWITCH_SLACK_S + 0.1
    assert names(fleet, late) == ["d1", "p1"]
    fleet.note_switching("d1", "prefill", late)
    assert names(fleet, late + 0.1) == ["p1"]


def test_being_told_again_does_not_make_a_change_last_longer():
    fleet = make_fleet()
    fleet.note_switching("d1", "prefill", 0.0)
    fleet.note_switching("d1", "prefill", 10.0)
    assert names(fleet, 3.0 + health.SWITCH_SLACK_S + 0.1) == ["d1", "p1"]


def test_the_shape_comes_from_the_configuration():
    fleet = make_fleet()
    assert fleet.list_engine_services() == ["lm"]
    assert fleet.find_engine_spec("lm").role_change_s == 3.0
    assert fleet.find_engine_of("d1").cache_tokens == 5000
    assert fleet.find_engine_of("unknown") is None


def test_loads_tell_only_what_is_under_way():
    fleet = make_fleet()
    engine = fleet.find_engine_of("p1")
    fleet.find_engine_of("d1")
    engine.own_backlog_s[1] = 0.7
    assert [(load.lifetime, load.backlog_ms) for load in fleet.list_loads(0.0)] == [
        ("p1", [0, 700] + [0] * (LEVELS - 2))
    ]


def test_a_target_is_passed_over_once_our_share_of_its_connections_is_busy():
    fleet = make_fleet()
    fleet.gateways = 20
    target = fleet.directory.targets["d1"]

    def names_of_usable():
        found = fleet.list_usable("lm", 0.0, set())
        return sorted(target.announced.lifetime for target in found)

    target.in_flight = 3
    assert names_of_usable() == ["d1", "p1"]
    target.in_flight = 4
    assert names_of_usable() == ["p1"]
    fleet.gateways = 2
    assert names_of_usable() == ["d1", "p1"]


def test_a_gateway_with_most_of_the_traffic_uses_connections_that_others_leave():
    fleet = make_fleet()
    fleet.gateways, fleet.hears_all_gateways = 20, True
    target = fleet.directory.targets["d1"]
    target.in_flight = 10

    def is_usable():
        return target in fleet.list_usable("lm", 0.0, set())

    assert is_usable()
    fleet.find_engine(target).peers_in_flight["busy"] = 60
    assert not is_usable()
    fleet.find_engine(target).peers_in_flight.clear()
    fleet.hears_all_gateways = False
    assert not is_usable()


def test_the_next_send_is_at_the_end_of_the_first_rest_of_those_that_may_run_it():
    fleet = make_fleet()
    announce(fleet, "d2", "decode", software_version="v2")
    stated = {id: t.stated for id, t in fleet.directory.targets.items()}
    assert fleet.find_return_s("lm", 1.0, None) == 0.0
    stated["d1"].rest_until, stated["d2"].rest_until = 4.0, 9.0
    assert fleet.find_return_s("lm", 1.0, None) == 3.0
    assert fleet.find_return_s("lm", 1.0, "v2") == 8.0
    stated["d1"].leaving = True
    assert fleet.find_return_s("lm", 1.0, None) == 8.0
    stated["d2"].leaving = True
    assert fleet.find_return_s("lm", 1.0, None) == 0.0


def test_an_engine_that_a_peer_hears_is_cut_off_from_this_gateway_and_not_lost():
    """Guards against callers told to wait who are served at once elsewhere."""
    fleet = make_fleet()
    fleet.find_engine_of("d1")
    health.note_silent(fleet.directory.targets["d1"], 10.0)
    told = TargetLoad("d1", 1, [], 0, 0)
    fleet.note_heard_by_peer([told], 10.0 + health.PEER_DELAY_S)
    assert fleet.find_return_s("lm", 10.5, None) == pytest.approx(RESTART_S - 0.5)
    fleet.note_heard_by_peer([told], 10.6)
    assert fleet.find_return_s("lm", 10.6, None) == 0.0


def test_a_request_that_waited_keeps_no_connections_for_a_target_that_returns():
    """Guards against a target that is back and gets nothing."""
    fleet = make_fleet()
    dropped = fleet.directory.targets["d1"]
    targets.note_missing(fleet.directory, 0.0, "d1")
    for target in targets.drop_gone(fleet.directory, 10.0):
        fleet.forget(target, 10.0)
    announce(fleet, "d1", "decode")
    returned = fleet.directory.targets["d1"]
    waiting = fleet.find_pool(dropped)
    assert fleet.find_pool(returned) is not waiting
    assert fleet.find_pool(returned) is fleet.find_pool(returned)


def test_what_was_lost_before_a_pause_of_this_process_is_not_waited_for_after_it():
    """Guards against callers told to wait long, as nothing could be heard meanwhile."""
    fleet = make_fleet()
    health.note_silent(fleet.directory.targets["d1"], 10.0)
    fleet.note_pause(35.0)
    assert fleet.find_return_s("lm", 35.0, None) <= RESTART_S


def test_an_engine_that_is_seen_before_the_configuration_gets_its_memory():
    """Guards against engines that look short of memory, as a usual size was assumed."""
    fleet = Fleet(Directory(), decode_answer)
    announce(fleet, "d1", "decode")
    assert fleet.find_engine_of("d1").cache_tokens == UNKNOWN_ENGINE.cache_tokens
    services = [Service("lm", "/h", 80, EngineSpec(8, 620_000, 5.0, 3.0))]
    fleet.apply_table(make_table(1, [], services, CallerLimits()), 0.0)
    assert fleet.find_engine_of("d1").cache_tokens == 620_000


def test_a_new_lifetime_under_an_id_begins_at_the_speed_of_its_service():
    fleet = make_fleet()
    fleet.shares_speeds = True
    announce(fleet, "p2@1", "prefill")
    fleet.note_speeds("g2", [SpeedSums("p2@1", 15, [400])], 0.0)
    fleet.list_speeds(0.0)
    assert fleet.find_engine_of("p2@1").slowness > 2.0
    announce(fleet, "p2@2", "prefill")
    fleet.list_speeds(0.1)
    assert fleet.find_engine_of("p2@2").slowness == 1.0
