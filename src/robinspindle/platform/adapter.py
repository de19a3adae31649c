"""Bundles the adapter for the gateway."""

from collections.abc import Callable
from dataclasses import dataclass
from types import ModuleType

from robinspindle.core.routes import RouteTable
from robinspindle.core.targets import Announcement
from robinspindle.gatewaysettings import GatewaySettings
from robinspindle.platform import dialect, documents, duties, orders, store
from robinspindle.platform.store import Store


@dataclass(frozen=True)
class PlatformAdapter:
    """What the platform's adapter gives a gateway."""

    configuration_topic: str = store.CONFIGURATION_TOPIC
    configuration_key: str = store.CONFIGURATION_KEY
    targets_topic: str = store.TARGETS_TOPIC
    gateways_topic: str = store.GATEWAYS_TOPIC
    orders_topic: str = store.ORDERS_TOPIC
    reports_topic: str = store.REPORTS_TOPIC
    dialect: ModuleType = dialect
    orders: ModuleType = orders
    duties: ModuleType = duties

    def make_store(
        self, settings: GatewaySettings, clock: Callable[[], float]
    ) -> Store:
        """Make the client of the store."""
        return Store(settings.store, clock)

    def decode_configuration(self, data: bytes) -> RouteTable:
        """Decode the operator's configuration."""
        return documents.decode_configuration(data)

    def decode_announcement(self, id: str, data: bytes) -> Announcement:
        """Decode a target's entry."""
        return documents.decode_announcement(id, data)
