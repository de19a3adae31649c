"""What the adapter of the users' platform gives a gateway."""

from collections.abc import Callable
from typing import Protocol

from robinspindle.core.routes import RouteTable
from robinspindle.core.targets import Announcement
from robinspindle.dutycalls import DutyDialect
from robinspindle.following import KeyedStore
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.ordering import OrderDialect
from robinspindle.originlog import RecordStore
from robinspindle.passages import Dialect


class GatewayStore(KeyedStore, RecordStore, Protocol):
    """What a gateway needs of the store."""


class Adapter(Protocol):
    """What the platform's adapter gives a gateway."""

    configuration_topic: str
    configuration_key: str
    targets_topic: str
    gateways_topic: str
    orders_topic: str
    origins_topic: str
    reports_topic: str
    dialect: Dialect
    orders: OrderDialect
    duties: DutyDialect

    def make_store(
        self, settings: GatewaySettings, clock: Callable[[], float]
    ) -> GatewayStore:
        """Make the client of the store."""

    def decode_configuration(self, data: bytes) -> RouteTable:
        """Decode the operator's configuration."""

    def decode_announcement(self, id: str, data: bytes) -> Announcement:
        """Decode a target's entry."""
