"""The configuration document: what operators publish on the log.

A document is INI text. Reading it is pure, so every process that sees the same
record reaches the same verdict about it.
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
Words = Annotated[
    tuple[str, ...],
    BeforeValidator(lambda value: value.split() if isinstance(value, str) else value),
]
Role = Literal["mixed", "prefill", "decode"]
NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
Name = Annotated[str, Field(pattern=NAME)]
HostPort = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


@dataclass(frozen=True, config=MODEL_CONFIG)
class FleetSection:
    """What holds for the whole deployment.

    Attributes:
        name: The deployment's name.
        entries: How many entry VMs share each workspace's limits.
        subset: Most targets of one model an entry speaks to; 0 means all.
    """

    name: Name
    entries: Annotated[int, Field(ge=1, le=10_000)] = 2
    subset: Count = 0


@dataclass(frozen=True, config=MODEL_CONFIG)
class ModelSection:
    """A model that the deployment serves.

    Attributes:
        name: The model's name, as callers write it.
        least_serving: Targets that go on serving it through any plan.
    """

    name: Name
    least_serving: Count = 1


@dataclass(frozen=True, config=MODEL_CONFIG)
class ServiceSection:
    """A plain service beside the engines.

    Attributes:
        name: The service's name in ``/services/<name>/``.
        least_serving: Targets that go on serving it through any plan.
        repeatable: HTTP methods whose calls may be repeated.
    """

    name: Name
    least_serving: Count = 1
    repeatable: Words = ("GET", "HEAD", "OPTIONS")


@dataclass(frozen=True, config=MODEL_CONFIG)
class TargetSection:
    """One replica: a model engine or a plain service, with its agent.

    Attributes:
        name: The target's name.
        zone: Its availability zone.
        agent: Address of the agent beside it, ``ip:port``.
        address: The target's own address, ``ip:port``.
        model: The model an engine starts with, empty for a plain service.
        service: The plain service's name, empty for an engine.
        role: The role an engine starts with.
        fencing: Whether the engine checks the fencing number of an order.
        slots: Requests that the target works on at a time.
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
        """The pool it starts in: its model's or its service's name."""
        return self.model or self.service


@dataclass(frozen=True, config=MODEL_CONFIG)
class ClassSection:
    """A kind of work, with what callers of it were promised.

    Attributes:
        name: The class's name.
        priority: Lower goes first; alerts and pings have 0.
        first_token_s: Promised time to the first token, seconds.
        promised_s: Promised time to the whole answer, seconds.
        objective: Share of requests that must keep both promises.
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
        key_digest: SHA-256 of its bearer key, in hex.
        work: The class of its requests.
        requests_per_s: Most requests a second, over all entries.
        in_flight: Most requests at a time, over all entries.
        operator: Whether its key may state and confirm intents.
    """

    name: Name
    key_digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    work: str = ""
    requests_per_s: Positive = 100.0
    in_flight: Annotated[int, Field(ge=1)] = 256
    operator: bool = False


@dataclass(frozen=True, config=MODEL_CONFIG)
class PolicySection:
    """Numbers that the decisions use.

    Attributes:
        routing: Name of the routing policy.
        leaving_after_s: Silence after which a target gets no new work.
        retry_share: Retries allowed, as a share of first tries.
        queue_s: Longest time a request may wait at an agent.
        zone_delay_s: One-way delay between availability zones.
        split_s: Time of reading a prompt above which it goes to a prefill target.
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
    """A whole valid configuration document.

    Attributes:
        fleet: What holds for the whole deployment.
        policy: Numbers that the decisions use.
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
        """The workspaces by the digests of their keys, made at the first look-up."""
        return {found.key_digest: found for found in self.workspaces.values()}

    def find_least_serving(self, pool: str) -> int:
        """Return how many targets must go on serving a model or a service."""
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
    """Read a configuration document.

    Args:
        text: The INI text.
        file: Name used in findings.

    Returns:
        The configuration.

    Raises:
        InvalidDocumentError: With every finding, when there is any.
    """
    document = IniDocument(file, text)
    parts: dict[str, dict] = {PLURALS[kind]: {} for kind in NAMED_SECTIONS}
    singles = {}
    for section in document.sections:
        kind, _, name = section.partition(" ")
        if section in SINGLE_SECTIONS:
            singles[section] = document.build(section, SINGLE_SECTIONS[section])
        elif kind in NAMED_SECTIONS and name:
            parts[PLURALS[kind]][name] = document.build(
                section, NAMED_SECTIONS[kind], name
            )
        else:
            known = [*SINGLE_SECTIONS, *(f"{kind} NAME" for kind in NAMED_SECTIONS)]
            document.add_finding(section, "", f"unknown section; known: {known}")
    if "fleet" not in document.sections:
        document.add_finding("", "", "a section [fleet] with `name` is required")
    _check_references(document, parts)
    if document.findings:
        raise InvalidDocumentError(document.findings)
    singles.setdefault("policy", PolicySection())
    return Configuration(**singles, **parts)


def _check_references(document: IniDocument, parts: dict[str, dict]) -> None:
    addresses: dict[str, str] = {}
    for name, target in parts["targets"].items():
        if target is None:
            continue
        section = f"target {name}"
        if bool(target.model) == bool(target.service):
            document.add_finding(section, "", "needs either `model` or `service`")
        if target.model and target.model not in parts["models"]:
            document.add_finding(section, "model", f"no [model {target.model}]")
        if target.service and target.service not in parts["services"]:
            document.add_finding(section, "service", f"no [service {target.service}]")
        other = addresses.setdefault(target.agent, name)
        if other != name:
            document.add_finding(section, "agent", f"also the address of {other}")
    _check_workspaces(document, parts)


def _check_workspaces(document: IniDocument, parts: dict[str, dict]) -> None:
    digests: dict[str, str] = {}
    for name, workspace in parts["workspaces"].items():
        if workspace is None:
            continue
        section = f"workspace {name}"
        if workspace.work and workspace.work not in parts["classes"]:
            document.add_finding(section, "work", f"no [class {workspace.work}]")
        other = digests.setdefault(workspace.key_digest, name)
        if other != name:
            document.add_finding(section, "key_digest", f"also the key of {other}")
    for model in parts["models"]:
        if model in parts["services"]:
            document.add_finding(f"model {model}", "", "also the name of a service")
