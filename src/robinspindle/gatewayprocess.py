"""Runs a gateway as a process of its own."""

import asyncio

from robinspindle.adapters import Adapter
from robinspindle.clocks import PauseWatch, make_loop
from robinspindle.gateway import Gateway
from robinspindle.logs import start_bounded_logs
from robinspindle.processsignals import ProcessSignals, ignore_signals
from robinspindle.rereading import Reread
from robinspindle.unexpected import report_to


def run_gateway(reread: Reread, adapter: Adapter, signals: ProcessSignals) -> int:
    """Run a gateway until it is told to stop; returns the exit code.

    Args:
        reread: Reads the settings, at the start and again.
        adapter: The platform's adapter.
        signals: Holds the signals of the process, which are ignored afterwards.

    Raises:
        InvalidDocumentError: When the settings at the start have findings.
    """
    watch = PauseWatch()
    try:
        with asyncio.Runner(loop_factory=lambda: make_loop(watch)) as runner:
            return runner.run(_run(reread, adapter, watch, signals))
    finally:
        signals.wake = None
        ignore_signals()


async def _run(
    reread: Reread, adapter: Adapter, watch: PauseWatch, signals: ProcessSignals
) -> int:
    settings = reread()
    output = start_bounded_logs(settings.name, tells_routine=not settings.is_quiet)
    gateway = Gateway(settings, adapter, output, reread)
    failures = gateway.failures
    report_to(failures, asyncio.get_running_loop())
    # They are called inside the loop's wait, where an error would end the process.
    watch.note = failures.guard("note pauses", gateway.note_pause)
    watch.note_long_turn = failures.guard("note long turns", gateway.note_long_turn)
    return await gateway.run(signals)
