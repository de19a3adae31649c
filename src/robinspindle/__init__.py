"""robinspindle serves language models from a small, easily disturbed fleet.

The public face: the configuration document, the settings and the errors. Everything
else is run through the command ``robinspindle``.
"""

import importlib

__version__ = "0.1.0"

__all__ = [
    "Configuration",
    "Finding",
    "InvalidDocumentError",
    "RobinspindleError",
    "parse_configuration",
    "read_settings",
]

_HOMES = {
    "Configuration": "robinspindle.core.documents",
    "Finding": "robinspindle.exceptions",
    "InvalidDocumentError": "robinspindle.exceptions",
    "RobinspindleError": "robinspindle.exceptions",
    "parse_configuration": "robinspindle.core.documents",
    "read_settings": "robinspindle.settings",
}
"""Where the public names live. They are loaded when they are asked for: a gateway needs
none of them, and the models behind them would make its start slow."""


def __getattr__(name: str) -> object:
    """Load a public name.

    Raises:
        AttributeError: If there is no such name.
    """
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_HOMES[name]), name)
