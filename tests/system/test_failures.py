"""The promises on real processes: killed, frozen, cut off, stopped."""

import http.client
import json
import re
import signal
import socket
import threading
import time

import pytest
import urllib3

from robinspindle.exceptions import ApiError
from standins.fleet import wait_until
from tests.system.helpers import (
    chat,
    count_calls,
    expect_answer,
    list_harm,
    notify,
    run_together,
)

TOKENS = 60

LONG_BYTES = 7_000_000
ROOM_BYTES = 65536
"""Length of an answer, and what a slow reader's connection has room for, bytes."""


def act_once(fleet, act):
    """Make a caller's hook that does something at the fifth token."""
    state = {"done": False}

    def hook(reply):
        if len(reply.ids) >= 5 and not state["done"]:
            state["done"] = True
            act(reply.ids[-1].split("/")[1])

    return hook


def stream_while(fleet, act, prompt, entry=0):
    return chat(fleet, prompt, TOKENS, entry, on_token=act_once(fleet, act))


def plan(fleet, intent):
    return fleet.client.post("plans", json.dumps(intent).encode())


def confirm(fleet, id):
    return fleet.client.post(f"confirm/{id}")


def follow(fleet, id):
    client = fleet.client
    wait_until(lambda: client.get(f"plans/{id}")["status"] != "running", "the plan")
    return client.get(f"plans/{id}")


def test_a_killed_agent_costs_no_token(calm):
    reply = stream_while(calm, calm.kill, "killed agent")
    assert reply.text == expect_answer("killed agent", TOKENS)
    assert reply.is_done


def test_a_frozen_agent_costs_no_token(calm):
    frozen = []

    def freeze(name):
        frozen.append(name)
        calm.signal(name, signal.SIGSTOP)

    reply = stream_while(calm, freeze, "frozen agent")
    calm.signal(frozen[0], signal.SIGCONT)
    assert reply.text == expect_answer("frozen agent", TOKENS)


def test_an_engine_that_breaks_off_costs_no_token(calm):
    def break_off(name):
        address = calm.configuration.targets[name].address
        calm.set_faults(address, break_streams=True)

    reply = stream_while(calm, break_off, "broken engine")
    assert reply.text == expect_answer("broken engine", TOKENS)


def test_a_planned_stop_of_an_agent_cuts_nothing(calm):
    codes = []

    def stop(name):
        calm.signal(name, signal.SIGTERM)
        codes.append(name)

    reply = stream_while(calm, stop, "stopped agent")
    assert reply.text == expect_answer("stopped agent", TOKENS)
    assert len({id.split("/")[1] for id in reply.ids}) == 1
    assert calm.processes[codes[0]].wait(10) == 0


@pytest.mark.parametrize("held_s", [0.5, 2.5])
def test_a_planned_stop_of_an_agent_cuts_nothing_though_the_entry_is_held_up(
    calm, held_s
):
    """The last token was missing once in five full runs beside busy processes. The
    agent sends the last tokens and the end of the run, and ends; an entry that is not
    run meanwhile found its connection ended, and its socket dropped what had come over
    it and was not read (`zmq.IMMEDIATE`). Held up for 2.5 s, it then got 5 of 60."""
    codes = []

    def stop(name):
        codes.append(name)
        calm.signal(name, signal.SIGTERM)
        calm.signal("entry-1", signal.SIGSTOP)
        threading.Timer(held_s, calm.signal, ("entry-1", signal.SIGCONT)).start()

    reply = stream_while(calm, stop, "held up")
    assert reply.text == expect_answer("held up", TOKENS)
    assert len({id.split("/")[1] for id in reply.ids}) == 1
    assert calm.processes[codes[0]].wait(10) == 0


def test_an_entry_held_up_together_with_its_agent_loses_no_run(calm):
    """The test above failed once in five full runs: 5 of 60 tokens. The entry, run
    again, looked at the clock before its socket's thread had passed on what had come,
    and took the target for silent. Here nothing comes for 0.3 s more, as where a whole
    machine was held up, so the race is always lost."""

    def hold_up(name):
        for held in ("entry-1", name):
            calm.signal(held, signal.SIGSTOP)
        threading.Timer(2.0, calm.signal, ("entry-1", signal.SIGCONT)).start()
        threading.Timer(2.3, calm.signal, (name, signal.SIGCONT)).start()

    reply = stream_while(calm, hold_up, "held up together")
    assert reply.text == expect_answer("held up together", TOKENS)
    assert len({id.split("/")[1] for id in reply.ids}) == 1


def test_a_planned_stop_of_an_entry_cuts_nothing(calm):
    reply = stream_while(
        calm, lambda _: calm.signal("entry-1", signal.SIGTERM), "stopped entry"
    )
    assert reply.text == expect_answer("stopped entry", TOKENS)
    assert calm.processes["entry-1"].wait(10) == 0


def test_a_request_that_comes_as_a_stopping_entry_ends_is_answered(calm):
    """Handed over after the loop's last turn, it waited for nothing."""
    ended = []

    def notify_until_the_end():
        while calm.processes["entry-1"].poll() is None:
            try:
                ended.append(notify(calm, f"last {len(ended)}", 0).status)
            except urllib3.exceptions.ReadTimeoutError:
                ended.append("no answer")
            except urllib3.exceptions.HTTPError:
                return

    callers = [threading.Thread(target=notify_until_the_end) for _ in range(3)]
    for caller in callers:
        caller.start()
    calm.signal("entry-1", signal.SIGTERM)
    is_ended = calm.processes["entry-1"].poll
    try:
        wait_until(lambda: is_ended() is not None, "the entry's end", 15.0)
    finally:
        if is_ended() is None:
            calm.kill("entry-1")
        for caller in callers:
            caller.join()
    assert 200 in ended
    assert set(ended) <= {200, 503}


def begin_slowly(fleet, body):
    """Send a notification but for the last two bytes of its body."""
    host, port = fleet.callers[0].removeprefix("http://").split(":")
    caller = socket.socket()
    caller.settimeout(30)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ROOM_BYTES)
    caller.connect((host, int(port)))
    lines = ["POST /services/notification/send HTTP/1.1", "Host: x"]
    lines += ["Authorization: Bearer demo-alert-push", f"Content-Length: {len(body)}"]
    caller.sendall("\r\n".join([*lines, "", ""]).encode() + body[:-2])
    return caller


def read_status(caller):
    with caller:
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        answer.read()
        return answer.status


def test_a_slow_body_is_answered_though_its_entry_was_told_to_stop(calm):
    """It was cut: a stop waited only for requests whose bodies were whole."""
    whole = begin_slowly(calm, b"whole after the stop began")
    broken = begin_slowly(calm, b"never whole")
    calm.signal("entry-1", signal.SIGTERM)
    for piece in (b"a", b"n"):
        time.sleep(1.5)
        whole.sendall(piece)
    assert read_status(whole) == 200
    assert read_status(broken) == 503
    assert count_calls(calm, b"whole after the stop began") == 1
    assert calm.processes["entry-1"].wait(15) == 0


def test_an_answer_that_is_read_slowly_is_whole_though_its_entry_stops(calm):
    """It was cut: it counted as delivered once it was handed to its caller's thread."""
    body = b"l" * LONG_BYTES
    caller = begin_slowly(calm, body)
    caller.sendall(body[-2:])
    wait_until(lambda: count_calls(calm, body) == 1, "the service to have run")
    time.sleep(1.0)
    calm.signal("entry-1", signal.SIGTERM)
    time.sleep(3.0)
    with caller:
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        assert len(answer.read()) >= LONG_BYTES
    assert calm.processes["entry-1"].wait(15) == 0


def test_a_hangup_signal_ends_no_process_and_cuts_nothing(calm):
    def send_hangups(name):
        for process in (name, "entry-1"):
            calm.signal(process, signal.SIGHUP)

    reply = stream_while(calm, send_hangups, "hangup signals")
    assert reply.text == expect_answer("hangup signals", TOKENS)
    assert len({id.split("/")[1] for id in reply.ids}) == 1


def test_engines_that_are_silent_for_two_seconds_cut_nothing(calm):
    """The agents beside them go on reporting."""
    engines = [f"{n}.target" for n, t in calm.configuration.targets.items() if t.model]

    def hold_up(_):
        for name in engines:
            calm.signal(name, signal.SIGSTOP)
            threading.Timer(2.0, calm.signal, (name, signal.SIGCONT)).start()

    reply = stream_while(calm, hold_up, "silent engines")
    assert reply.text == expect_answer("silent engines", TOKENS)
    assert len({id.split("/")[1] for id in reply.ids}) == 1


@pytest.mark.parametrize("silent_s", [1.0, 2.0])
def test_agents_that_are_silent_for_a_while_lose_no_call(calm, silent_s):
    """After 1.5 s the call's outcome was called unknown, and its answer was dropped."""
    names = [n for n, t in calm.configuration.targets.items() if t.service]
    for name in names:
        calm.set_faults(calm.configuration.targets[name].address, delay_s=1.0)
    body = f"silent for {silent_s}".encode()

    def hold_up():
        wait_until(lambda: count_calls(calm, body), "the call")
        for name in names:
            calm.signal(name, signal.SIGSTOP)
        time.sleep(silent_s)
        for name in names:
            calm.signal(name, signal.SIGCONT)

    reply, _ = run_together(lambda: notify(calm, "", 0, body, "ticker-chat"), hold_up)
    for name in names:
        calm.set_faults(calm.configuration.targets[name].address)
    assert reply.status == 200
    assert count_calls(calm, body) == 1


def test_a_drain_cuts_nothing_and_sends_no_new_work(calm):
    drained = []

    def drain(name):
        drained.append(name)
        made = plan(calm, {"type": "Drain", "targets": [name]})
        assert confirm(calm, made["id"])["status"] == "running"

    reply = stream_while(calm, drain, "drained")
    assert reply.text == expect_answer("drained", TOKENS)
    wait_until(
        lambda: any(
            t["name"] == drained[0] and t["state"] == "drained"
            for t in calm.client.get("status")["targets"]
        ),
        "the drain",
    )
    before = len(calm.read_journal(drained[0]))
    for number in range(12):
        assert chat(calm, f"after drain {number}", 2, number % 2).is_done
    assert len(calm.read_journal(drained[0])) == before
    back = plan(calm, {"type": "Undrain", "targets": drained})
    confirm(calm, back["id"])
    assert follow(calm, back["id"])["status"] == "done"


def test_a_configuration_that_drops_a_target_cuts_nothing(calm):
    dropped = []

    def drop(name):
        dropped.append(name)
        text = re.sub(rf"\[target {name}\][^\[]*", "", calm.text)
        _publish_at(calm, 1, text)

    reply = stream_while(calm, drop, "dropped target")
    calm.stop(dropped[0])
    _publish_at(calm, 1, calm.text)
    assert reply.text == expect_answer("dropped target", TOKENS)
    assert {id.split("/")[1] for id in reply.ids} == set(dropped)


def test_role_changes_under_load_hurt_nothing(calm):
    intent = {"type": "SetRoles", "model": "investor-70b"}
    made = plan(calm, intent | {"prefill": 1, "decode": 2, "mixed": 3})
    confirm(calm, made["id"])
    calls = [
        lambda n=n: chat(calm, f"changing {n}" + " long" * 900, 30, n % 2)
        for n in range(8)
    ]
    replies = run_together(*calls)
    for number, reply in enumerate(replies):
        prompt = f"changing {number}" + " long" * 900
        assert reply.text == expect_answer(prompt, 30)
    assert follow(calm, made["id"])["status"] == "done"
    back = plan(calm, intent | {"mixed": 6})
    confirm(calm, back["id"])
    assert follow(calm, back["id"])["status"] == "done"
    assert list_harm(calm) == []


@pytest.mark.parametrize("fault", ["crash_in_change", "lose_order_answer"])
def test_an_engine_lost_in_a_change_is_asked_and_settled(calm, fault):
    address = calm.configuration.targets["engine-2"].address
    calm.set_faults(address, **{fault: True})
    intent = {
        "type": "ServeModel",
        "model": "investor-70b",
        "targets": ["engine-2"],
        "version": f"after {fault}",
    }
    made = plan(calm, intent)
    confirm(calm, made["id"])
    assert follow(calm, made["id"])["status"] == "done"
    assert list_harm(calm) == []


def test_of_two_racing_operators_one_wins_and_the_other_gets_a_fresh_plan(calm):
    intent = {"type": "ServeModel", "model": "investor-70b", "targets": ["engine-4"]}
    first = plan(calm, intent | {"version": "red"})
    second = plan(calm, intent | {"version": "blue"})
    assert confirm(calm, second["id"])["status"] == "running"
    with pytest.raises(ApiError) as caught:
        confirm(calm, first["id"])
    assert caught.value.status == 409
    assert caught.value.body["fresh"]["status"] == "open"
    assert follow(calm, second["id"])["status"] == "done"


def test_a_notification_whose_agent_is_killed_runs_at_most_once(calm):
    body = b"agent killed midway"
    names = [n for n, t in calm.configuration.targets.items() if t.service]
    for name in names:
        calm.set_faults(calm.configuration.targets[name].address, delay_s=1.5)

    def kill_the_one_that_runs():
        def find():
            return [n for n in names if calm.read_journal(n)[-1:] == [call]]

        call = {
            "kind": "call",
            "method": "POST",
            "path": "/send",
            "body": body.decode(),
        }
        wait_until(find, "the call to begin")
        calm.kill(find()[0])

    reply, _ = run_together(
        lambda: notify(calm, "killed", 0, body), kill_the_one_that_runs
    )
    again = notify(calm, "killed", 1, body)
    for name in names:
        calm.set_faults(calm.configuration.targets[name].address)
    assert reply.error["ran"] == "unknown"
    assert again.error["ran"] == "unknown"
    assert count_calls(calm, body) == 1


def test_a_callers_retry_while_the_first_still_runs_gets_its_answer(calm):
    body = b"still running"
    names = [n for n, t in calm.configuration.targets.items() if t.service]
    for name in names:
        calm.set_faults(calm.configuration.targets[name].address, delay_s=1.0)

    def retry():
        time.sleep(0.5)
        return notify(calm, "still", 1, body)

    replies = run_together(lambda: notify(calm, "still", 0, body), retry)
    for name in names:
        calm.set_faults(calm.configuration.targets[name].address)
    assert [reply.status for reply in replies] == [200, 200]
    assert count_calls(calm, body) == 1


def test_with_the_log_out_serving_goes_on_and_nothing_is_confirmed(calm):
    made = plan(calm, {"type": "Drain", "targets": ["engine-3"]})
    calm.set_faults(calm.platform, outage=True)
    assert chat(calm, "log out", 6).text == expect_answer("log out", 6)
    reply = notify(calm, "log out", 0, b"log out")
    assert (reply.status, reply.error["ran"]) == (503, "no")
    assert int(reply.headers["retry-after"]) >= 1
    with pytest.raises(ApiError):
        confirm(calm, made["id"])
    assert notify(calm, "", 0, b"no key").status == 200
    calm.set_faults(calm.platform)
    assert count_calls(calm, b"log out") == 0
    wait_until(lambda: notify(calm, "log out", 0, b"log out").status == 200, "the log")
    assert count_calls(calm, b"log out") == 1
    assert calm.client.get(f"plans/{made['id']}")["status"] == "open"


def test_appends_whose_answers_are_lost_run_nothing_twice(calm):
    calm.set_faults(calm.platform, lose_answers=1.0)
    reply = notify(calm, "lost append", 0, b"lost append")
    calm.set_faults(calm.platform)
    again = notify(calm, "lost append", 1, b"lost append")
    assert count_calls(calm, b"lost append") == 1
    assert 200 in (reply.status, again.status)


def test_a_configuration_reaches_a_process_that_is_cut_from_the_log(calm):
    calm.set_faults(calm.platform, cut=["entry-1", "engine-5"])
    text = calm.text + "# a change\n"
    client = calm.client
    version = _publish_at(calm, 1, text)

    def is_in_force():
        views = client.get_from_all("status")
        return all(view["configuration"] == version for view in views)

    wait_until(is_in_force, "the configuration at both entries")


def _publish_at(fleet, entry, text):
    from robinspindle.client import OperatorClient

    client = OperatorClient([fleet.operators[entry]], "demo-operators")
    return client.post("configuration", text.encode())["version"]


def test_a_restarted_process_reads_to_the_end_and_never_reverts(calm):
    version = _publish_at(calm, 0, calm.text + "# another change\n")
    calm.kill("entry-2")
    calm.start("entry-2")

    def is_back():
        try:
            views = calm.client.get_from_all("status")
        except ApiError:
            return False
        return len(views) == 2 and all(view["ready"] for view in views)

    wait_until(is_back, "the entry to be back")
    views = calm.client.get_from_all("status")
    assert {view["configuration"] for view in views} == {version}


def test_a_frozen_coordinator_loses_the_lease_and_wakes_harmless(calm):
    holder = calm.client.get("status")["coordinator"]
    name = holder.rsplit("-", 1)[0]
    other = "entry-2" if name == "entry-1" else "entry-1"
    number = int(other[-1]) - 1
    calm.signal(name, signal.SIGSTOP)
    from robinspindle.client import OperatorClient

    client = OperatorClient([calm.operators[number]], "demo-operators")
    wait_until(
        lambda: client.get("status")["coordinator"].startswith(other), "a takeover"
    )
    calm.signal(name, signal.SIGCONT)
    time.sleep(3.0)
    views = calm.client.get_from_all("status")
    assert all(view["coordinator"].startswith(other) for view in views)


def test_a_vm_that_the_list_names_leaving_gets_no_new_work(calm):
    calm.http.request(
        "POST",
        f"http://{calm.platform}/vms",
        body=json.dumps({"vm-engine-6": "leaving"}),
    )
    time.sleep(2.5)
    before = len(calm.read_journal("engine-6"))
    for number in range(10):
        assert chat(calm, f"leaving {number}", 2, number % 2).is_done
    assert len(calm.read_journal("engine-6")) == before
    calm.http.request(
        "POST", f"http://{calm.platform}/vms", body=json.dumps({"vm-engine-6": "live"})
    )


def test_a_request_without_the_fleet_key_is_not_heard(calm):
    import zmq

    from robinspindle.messages import Hello, encode_message

    context = zmq.Context()
    intruder = context.socket(zmq.DEALER)
    address = calm.configuration.targets["engine-1"].agent
    intruder.connect(f"tcp://{address}")
    intruder.send(encode_message(Hello()))
    assert intruder.poll(1500) == 0
    context.destroy(linger=0)
