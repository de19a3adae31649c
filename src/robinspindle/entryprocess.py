"""Assembles the process of an entry: its state and its two listeners."""

import threading

import urllib3

from robinspindle.allocator import share_one_heap
from robinspindle.callers import make_callers_handler
from robinspindle.entry import Entry
from robinspindle.keys import FleetKey
from robinspindle.operators import make_operators_handler
from robinspindle.settings import EntrySettings
from robinspindle.threadlimits import make_thread_limits
from robinspindle.web import make_server

OPERATOR_THREADS = 8
"""Operators' requests that are served at a time."""


def run_entry(settings: EntrySettings, key: FleetKey | None) -> None:
    """Run an entry until it is asked to stop."""
    share_one_heap()
    urllib3.disable_warnings()
    entry = Entry(settings, key)
    tls = (settings.tls_certificate, settings.tls_key)
    limits = make_thread_limits(settings.memory_mb)
    entry.metrics.caller_bytes.set_function(limits.count_bytes)
    callers = make_server(
        settings.listen,
        make_callers_handler(entry),
        settings.threads,
        settings.body_limit,
        *tls,
        limits=limits,
    )
    operators = make_server(
        settings.operators,
        make_operators_handler(entry),
        OPERATOR_THREADS,
        settings.body_limit,
        *tls,
        limits=limits,
    )
    for server in (callers, operators):
        threading.Thread(target=server.serve, daemon=True).start()
    try:
        entry.run(callers.has_requests)
    finally:
        for server in (callers, operators):
            server.stop()
