"""Keys: CURVE between the processes, bearer keys of workspaces."""

import os
import secrets
from dataclasses import dataclass
from pathlib import Path

import zmq

from robinspindle.exceptions import KeyFileError

BEARER_PREFIX = "rsp-"
CURVE_LENGTH = 40


@dataclass(frozen=True, repr=False)
class FleetKey:
    """The CURVE key pair that all processes of a deployment share.

    Attributes:
        public: Public key, Z85.
        secret: Secret key, Z85; never logged.
    """

    public: bytes
    secret: bytes


def make_fleet_key() -> FleetKey:
    """Make a new key pair."""
    return FleetKey(*zmq.curve_keypair())


def format_fleet_key(key: FleetKey) -> str:
    """Write a key pair as the text of a key file."""
    return f"public = {key.public.decode()}\nsecret = {key.secret.decode()}\n"


def read_fleet_key(path: str, variable: str = "ROBINSPINDLE_FLEET_KEY") -> FleetKey:
    """Read the key pair from a file, or its secret from the environment.

    Args:
        path: The key file; empty to use the environment.
        variable: Environment variable that holds the secret key.

    Raises:
        KeyFileError: If there is no key, or it is not one.
    """
    secret = _read_secret(path) if path else os.environ.get(variable, "")
    if len(secret) != CURVE_LENGTH:
        place = path or f"${variable}"
        raise KeyFileError(f"{place}: no CURVE secret key of {CURVE_LENGTH} characters")
    return FleetKey(zmq.curve_public(secret.encode()), secret.encode())


def _read_secret(path: str) -> str:
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    for line in text.splitlines():
        name, _, value = line.partition("=")
        if name.strip() == "secret":
            return value.strip()
    return ""


def make_bearer_key() -> str:
    """Make a new bearer key for a workspace."""
    return BEARER_PREFIX + secrets.token_urlsafe(24)
