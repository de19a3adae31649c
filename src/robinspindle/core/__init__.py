"""Decision logic as pure functions, without sockets, threads or clocks.

No module in this package reads a clock, does I/O or starts a thread. Each function
that needs the current time takes it as an argument, in seconds on a monotonic clock.
A test enforces this rule.
"""
