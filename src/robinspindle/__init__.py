"""robinspindle serves language models from a small, easily disturbed fleet.

The public face: the configuration document, the settings and the errors. Everything
else is run through the command ``robinspindle``.
"""

from robinspindle.core.documents import Configuration, parse_configuration
from robinspindle.exceptions import Finding, InvalidDocumentError, RobinspindleError
from robinspindle.settings import read_settings

__version__ = "0.1.0"

__all__ = [
    "Configuration",
    "Finding",
    "InvalidDocumentError",
    "RobinspindleError",
    "parse_configuration",
    "read_settings",
]
