"""The configuration document, which operators publish on the log.

A document is INI text. Parsing is pure, so all processes that read the same record
make the same decision to accept or to reject the document.
"""

from dataclasses import field
from functools import cached_property
from typing import Annotated, Literal

from pydantic import BeforeValidator, ConfigDict, Field
from pydantic.dataclasses import dataclass

from robinspindle.core.ini import IniDocument
from robinspindle.exceptions import InvalidDocumentError

MODEL_CONFIG = ConfigDict(extra="forbid")
Positive = Annotated[float, Field(gt=0, le=1e9)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0, le=1_000_000)]
WordTuple = Annotated[
    tuple[str, ...],
    BeforeValidator(lambda value: value.split() if isinstance(value, str) else value),
]
Role = Literal["mixed", "prefill", "decode"]
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
HostPort = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


@dataclass(frozen=True, config=MODEL_CONFIG)
class FleetSection:
    """Settings of the whole deployment.

    Attributes:
        name: The deployment's name.
        entries: Number of entry VMs that share each workspace's limits.
        subset: Maximum number of targets of one model that an entry connects to; 0
            means all.
    """

    name: Name
    entries: Annotated[int, Field(ge=1, le=10_000)] = 2
    subset: Count = 0


@dataclass(frozen=True, config=MODEL_CONFIG)
class ModelSection:
    """A model that the deployment serves.

    Attributes:
        name: The model's name in callers' requests.
        least_serving: Minimum number of targets that keep serving the model while a
            plan is executed.
    """

    name: Name
    least_serving: Count = 1


@dataclass(frozen=True, config=MODEL_CONFIG)
class ServiceSection:
    """A plain service, whose targets are no model engines.

    Attributes:
        name: The service's name in ``/services/<name>/``.
        least_serving: Minimum number of targets that keep serving the service while a
            plan is executed.
        repeatable: HTTP methods whose requests may be retried.
    """

    name: Name
    least_serving: Count = 1
    repeatable: WordTuple = ("GET", "HEAD", "OPTIONS")


@dataclass(frozen=True, config=MODEL_CONFIG)
class TargetSection:
    """One replica: a model engine or a plain service, with its agent.

    Attributes:
        name: The target's name.
        zone: Its availability zone.
        agent: Address of the agent beside it, ``ip:port``.
        address: The target's own address, ``ip:port``.
        model: The model that an engine starts with, empty for a plain service.
        service: The plain service's name, empty for an engine.
        role: The role that an engine starts with.
        fencing: Whether the engine checks the fencing token of an order.
        slots: Number of requests that the target runs at a time.
        vm: Name of the VM in the platform's list; the target's name if empty.
    """

    name: Name
    zone: Name
    agent: HostPort
    address: HostPort
    model: str = ""
    service: str = ""
    role: Role = "mixed"
    fencing: Literal["checked", "ignored"] = "ignored"
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    vm: str = ""

    @property
    def serves(self) -> str:
        """The pool that the target starts in: the name of its model or service."""
        return self.model or self.service


@dataclass(frozen=True, config=MODEL_CONFIG)
class ClassSection:
    """A class of work with its service-level objective.

    Attributes:
        name: The class's name.
        priority: The priority, 0 to 9; requests with a lower number are served first.
            Alerts and pings have 0.
        first_token_s: Latency objective for the first token, seconds.
        promised_s: Latency objective for the whole answer, seconds.
        objective: Share of requests that must meet both latency objectives.
        repeatable: Whether a generation may run more than once.
    """

    name: Name
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    first_token_s: Positive = 5.0
    promised_s: Positive = 30.0
    objective: Share = 0.99
    repeatable: bool = True


@dataclass(frozen=True, config=MODEL_CONFIG)
class WorkspaceSection:
    """A team that shares the deployment.

    Attributes:
        name: The workspace's name.
        key_digest: SHA-256 digest of its bearer key, hexadecimal.
        work: The class of its requests.
        requests_per_s: Maximum rate of requests over all entries, per second.
        in_flight: Maximum number of concurrent requests over all entries.
        operator: Whether its key may submit and confirm intents.
    """

    name: Name
    key_digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    work: str = ""
    requests_per_s: Positive = 100.0
    in_flight: Annotated[int, Field(ge=1)] = 256
    operator: bool = False


@dataclass(frozen=True, config=MODEL_CONFIG)
class PolicySection:
    """Parameters of the decisions of entries and agents.

    Attributes:
        routing: Name of the routing policy.
        leaving_after_s: Time without a message from a target after which it gets no new
            requests, seconds.
        retry_share: Maximum number of retries, as a share of first attempts.
        queue_s: Maximum time that a request may wait at an agent, seconds.
        zone_delay_s: One-way network delay between availability zones, seconds.
        split_s: Estimated prefill time above which prefill runs on a prefill target,
            seconds.
    """

    routing: Literal["estimate", "random", "round-robin", "least-in-flight"] = (
        "least-in-flight"
    )
    leaving_after_s: Positive = 2.0
    retry_share: Share = 0.2
    queue_s: Positive = 10.0
    zone_delay_s: Annotated[float, Field(ge=0, le=10)] = 0.0015
    split_s: Positive = 0.2


@dataclass(frozen=True)
class Configuration:
    """A valid configuration document.

    Attributes:
        fleet: Settings of the whole deployment.
        policy: Parameters of the decisions.
        models: Models by name.
        services: Plain services by name.
        targets: Targets by name.
        classes: Classes of work by name.
        workspaces: Workspaces by name.
    """

    fleet: FleetSection
    policy: PolicySection
    models: dict[str, ModelSection] = field(default_factory=dict)
    services: dict[str, ServiceSection] = field(default_factory=dict)
    targets: dict[str, TargetSection] = field(default_factory=dict)
    classes: dict[str, ClassSection] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceSection] = field(default_factory=dict)

    @cached_property
    def workspaces_by_key(self) -> dict[str, WorkspaceSection]:
        """The workspaces by the digests of their bearer keys; built on first use."""
        return {owner.key_digest: owner for owner in self.workspaces.values()}

    def find_least_serving(self, pool: str) -> int:
        """Return the minimum number of targets that must serve a model or a service."""
        section = self.models.get(pool) or self.services.get(pool)
        return section.least_serving if section else 0


SINGLE_SECTIONS = {"fleet": FleetSection, "policy": PolicySection}
NAMED_SECTIONS = {
    "model": ModelSection,
    "service": ServiceSection,
    "target": TargetSection,
    "class": ClassSection,
    "workspace": WorkspaceSection,
}
PLURALS = {kind: f"{kind}s" for kind in NAMED_SECTIONS} | {"class": "classes"}


def parse_configuration(text: str, file: str = "configuration") -> Configuration:
    """Parse and validate a configuration document.

    Args:
        text: The INI text.
        file: File name used in findings.

    Returns:
        The configuration.

    Raises:
        InvalidDocumentError: If the document has findings. The error lists all of them.
    """
    document = IniDocument(file, text)
    named_sections: dict[str, dict] = {PLURALS[kind]: {} for kind in NAMED_SECTIONS}
    single_sections = {}
    for section in document.sections:
        kind, _, name = section.partition(" ")
        if section in SINGLE_SECTIONS:
            single_sections[section] = document.build(section, SINGLE_SECTIONS[section])
        elif kind in NAMED_SECTIONS and name:
            named_sections[PLURALS[kind]][name] = document.build(
                section, NAMED_SECTIONS[kind], name
            )
        else:
            known = [*SINGLE_SECTIONS, *(f"{kind} NAME" for kind in NAMED_SECTIONS)]
            document.add_finding(section, "", f"unknown section; known: {known}")
    if "fleet" not in document.sections:
        document.add_finding("", "", "a section [fleet] with `name` is required")
    _check_references(document, named_sections)
    if document.findings:
        raise InvalidDocumentError(document.findings)
    single_sections.setdefault("policy", PolicySection())
    return Configuration(**single_sections, **named_sections)


def _check_references(document: IniDocument, named_sections: dict[str, dict]) -> None:
    addresses: dict[str, str] = {}
    for name, target in named_sections["targets"].items():
        if target is None:
            continue
        section = f"target {name}"
        if bool(target.model) == bool(target.service):
            document.add_finding(section, "", "needs either `model` or `service`")
        if target.model and target.model not in named_sections["models"]:
            document.add_finding(section, "model", f"no [model {target.model}]")
        if target.service and target.service not in named_sections["services"]:
            document.add_finding(section, "service", f"no [service {target.service}]")
        other_name = addresses.setdefault(target.agent, name)
        if other_name != name:
            document.add_finding(section, "agent", f"also the address of {other_name}")
    _check_workspaces(document, named_sections)


def _check_workspaces(document: IniDocument, named_sections: dict[str, dict]) -> None:
    digests: dict[str, str] = {}
    for name, workspace in named_sections["workspaces"].items():
        if workspace is None:
            continue
        section = f"workspace {name}"
        if workspace.work and workspace.work not in named_sections["classes"]:
            document.add_finding(section, "work", f"no [class {workspace.work}]")
        other_name = digests.setdefault(workspace.key_digest, name)
        if other_name != name:
            document.add_finding(section, "key_digest", f"also the key of {other_name}")
    for model in named_sections["models"]:
        if model in named_sections["services"]:
            document.add_finding(f"model {model}", "", "also the name of a service")
