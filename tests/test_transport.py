import time

import zmq

from robinspindle.messages import Finished, Hello, Tokens
from robinspindle.transport import Connections, Listener
from standins.fleet import find_free_ports, wait_until


def meet(listener, connections):
    """Exchange messages until both ends know each other."""
    heard = []

    def has_met():
        connections.send("agent", Hello())
        heard.extend(peer for peer, _ in listener.receive_all())
        return bool(heard)

    wait_until(has_met, "the first message")
    return heard[0]


def test_what_was_sent_before_an_agent_ended_is_read_however_late():
    context = zmq.Context()
    address = f"127.0.0.1:{find_free_ports(1)[0]}"
    listener = Listener(context, address, None)
    connections = Connections(context, "entry", None)
    connections.update({"agent": address}, zmq.Poller())
    peer = meet(listener, connections)
    assert connections.receive_all() == []
    last = Tokens(request="r", attempt=1, first=59, texts=("buy32 ",))
    listener.send(peer, last)
    listener.send(peer, Finished(request="r", attempt=1, count=60))
    listener.close()
    time.sleep(0.5)
    came = [type(message) for _, message in connections.receive_all()]
    connections.close()
    context.destroy(linger=0)
    assert came == [Tokens, Finished]


def test_what_an_agent_sent_is_read_though_its_address_is_dropped():
    """A target that leaves, or whose agent moves, loses its socket in the same turn in
    which the log says so; what had come over it and was not read yet went with it."""
    context = zmq.Context()
    address = f"127.0.0.1:{find_free_ports(1)[0]}"
    listener = Listener(context, address, None)
    connections = Connections(context, "entry", None)
    poller = zmq.Poller()
    connections.update({"agent": address}, poller)
    peer = meet(listener, connections)
    assert connections.receive_all() == []
    last = Tokens(request="r", attempt=1, first=59, texts=("buy32 ",))
    listener.send(peer, last)
    listener.send(peer, Finished(request="r", attempt=1, count=60))
    time.sleep(0.3)
    connections.update({}, poller)
    came = [(name, type(message)) for name, message in connections.receive_all()]
    again = connections.receive_all()
    connections.close()
    listener.close()
    context.destroy(linger=0)
    assert came == [("agent", Tokens), ("agent", Finished)]
    assert again == []


def test_an_address_that_cannot_be_connected_to_leaves_the_others():
    """It ended the entry, as its configuration names it, and again after each start."""
    context = zmq.Context()
    address = f"127.0.0.1:{find_free_ports(1)[0]}"
    listener = Listener(context, address, None)
    connections = Connections(context, "entry", None)
    poller = zmq.Poller()
    for _ in range(2):
        connections.update({"a-wrong": ".1:80", "agent": address}, poller)
    connections.send("a-wrong", Hello())
    assert meet(listener, connections)
    connections.close()
    listener.close()
    context.destroy(linger=0)
