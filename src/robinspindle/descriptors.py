"""How many descriptors the operating system allows this process."""

import resource


def find_descriptor_limit() -> float:
    """Find how many descriptors this process may have open; infinite for any."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if limit == resource.RLIM_INFINITY else limit
