"""Stand-ins for the outside systems: for tests, the demo and the bench only."""
