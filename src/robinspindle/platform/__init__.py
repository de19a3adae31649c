"""Translates between the platform that hosts gateways and robinspindle's own types.

It makes no decisions. ``settings`` reads the settings file, ``dialect`` the HTTP heads
of requests and responses, and ``documents`` the operator's configuration and the
entries of targets. ``store`` is the client of the log service, ``orders`` encodes
orders to model engines, and ``duties`` encodes calls to the platform's API. No other
code uses the platform's names.
"""
