"""Runs the fakes of `benches.slopes` as processes of their own."""

import sys

from benches.slopes import fake_agents, fake_entries

if __name__ == "__main__":
    if sys.argv[1] == "agents":
        fake_agents([int(port) for port in sys.argv[2].split(",")])
    else:
        fake_entries(int(sys.argv[2]), int(sys.argv[3]))
