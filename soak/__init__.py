"""A randomized soak: real gateways as processes, faults from outside them."""
