"""Whole deployments of real processes, shared by the tests of a module."""

import pytest

from robinspindle.exceptions import ApiError
from standins.fleet import start_fleet, wait_until


@pytest.fixture(scope="module")
def fleet():
    running = start_fleet("haddad", change_s=0.5)
    yield running
    running.close()


@pytest.fixture
def calm(fleet):
    """Give the fleet as it was at first: all processes up, no fault set."""
    yield fleet
    fleet.set_faults(fleet.platform)
    for name, process in fleet.processes.items():
        if process.poll() is not None:
            fleet.start(name)

    def is_well():
        try:
            views = fleet.client.get_from_all("status")
        except ApiError:
            return False
        return len(views) == len(fleet.operators) and all(
            view["ready"]
            and view["log_reached"]
            and all(t["state"] == "serving" for t in view["targets"])
            for view in views
        )

    wait_until(is_well, "the fleet to be well again")
