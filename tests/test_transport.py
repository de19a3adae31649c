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
