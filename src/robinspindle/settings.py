"""Settings of one process: an INI file, checked as a whole."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field
from pydantic.dataclasses import dataclass

from robinspindle.core.calleraccount import DEFAULT_MEMORY_MB
from robinspindle.core.documents import HostPort, Name
from robinspindle.core.ini import IniDocument, describe_unknown
from robinspindle.documentfiles import read_document
from robinspindle.exceptions import InvalidDocumentError

FORBID = ConfigDict(extra="forbid")


def _check_host(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"`{host}` is not an IP number") from None
    if not 0 < int(port) < 65536:
        raise ValueError(f"port {port} is not between 1 and 65535")
    return value


Address = Annotated[HostPort, AfterValidator(_check_host)]
Url = Annotated[str, Field(pattern=r"^https?://[0-9.]+:[0-9]{1,5}(/.*)?$")]


@dataclass(frozen=True, config=FORBID)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        name: The entry's name, unique in the deployment.
        zone: Its availability zone.
        listen: Address for callers.
        operators: Address for operators, health and metrics.
        log: URL of the platform's log service.
        vms: URL of the platform's list of VMs, empty for none.
        key_file: File with the fleet key; empty for the environment or none.
        secure: Whether a fleet key is required.
        tls_certificate: Certificate file for both listeners, empty for plain HTTP.
        tls_key: Its private key file.
        threads: Callers that can be served at a time.
        memory_mb: Memory that the process may have, MB; callers may hold a part of it.
        body_limit: Longest request body, bytes.
        bootstrap_digest: SHA-256 of the bearer key that may publish the first
            configuration, in hex; empty lets nobody.
    """

    name: Name
    zone: Name
    listen: Address
    operators: Address
    log: Url
    vms: str = ""
    key_file: str = ""
    secure: bool = True
    tls_certificate: str = ""
    tls_key: str = ""
    threads: Annotated[int, Field(ge=1, le=4096)] = 128
    memory_mb: Annotated[float, Field(ge=64)] = DEFAULT_MEMORY_MB
    body_limit: Annotated[int, Field(ge=1024, le=1 << 30)] = 8 << 20
    bootstrap_digest: Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")] = ""


@dataclass(frozen=True, config=FORBID)
class AgentSettings:
    """Settings of an agent.

    Attributes:
        target: Name of the target that it stands beside.
        listen: Address for entries.
        metrics: Address for health and metrics, empty for none.
        log: URL of the platform's log service.
        key_file: File with the fleet key; empty for the environment or none.
        secure: Whether a fleet key is required.
        memory_mb: Memory that the process may have, MB; answers of its target may take
            a part of it.
    """

    target: Name
    listen: Address
    log: Url
    metrics: Annotated[str, AfterValidator(lambda v: v and _check_host(v))] = ""
    key_file: str = ""
    secure: bool = True
    memory_mb: Annotated[float, Field(ge=64)] = DEFAULT_MEMORY_MB


@dataclass(frozen=True, config=FORBID)
class OperatorSettings:
    """Settings of the operators' commands.

    Attributes:
        entries: URLs of the entries' operators' listeners, separated by spaces.
        key_file: File with the operator's bearer key.
        ca_file: Certificate authority that signed the entries' certificates.
    """

    entries: str
    key_file: str = ""
    ca_file: str = ""


KINDS = {"entry": EntrySettings, "agent": AgentSettings, "operator": OperatorSettings}


def read_settings(path: str, kind: str):
    """Read the section of one kind of process from a settings file.

    Args:
        path: The INI file.
        kind: ``entry``, ``agent`` or ``operator``.

    Raises:
        InvalidDocumentError: With every finding, when there is any.
    """
    document = IniDocument(path, read_document(path))
    settings = None
    for section in document.sections:
        if section not in KINDS:
            document.add_finding(section, "", describe_unknown(section, list(KINDS)))
            continue
        built = document.build(section, KINDS[section])
        if section == kind:
            settings = built
    if kind not in document.sections:
        document.add_finding("", "", f"a section [{kind}] is required")
    if document.findings:
        raise InvalidDocumentError(document.findings)
    return settings
