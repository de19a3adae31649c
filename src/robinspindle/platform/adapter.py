"""The platform's adapter: what a gateway uses of this package."""

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
    """The topics, encodings and store client that a gateway uses on this platform.

    Attributes:
        configuration_topic: Topic of the store for the operator's configuration.
        configuration_key: Key of the configuration in that topic.
        targets_topic: Topic of the entries in which targets announce themselves.
        gateways_topic: Topic of the gateways' introductions and of the quarantine.
        orders_topic: Topic of lease claims for orders to engines.
        origins_topic: Topic without keys that holds who began which stream.
        reports_topic: Topic of usage reports and of lease claims for singleton duties.
        dialect: Encodes and decodes requests and responses.
        orders: Encodes orders to engines and decodes their responses.
        duties: Encodes calls to the platform's API and decodes its responses.
    """

    configuration_topic: str = store.CONFIGURATION_TOPIC
    configuration_key: str = store.CONFIGURATION_KEY
    targets_topic: str = store.TARGETS_TOPIC
    gateways_topic: str = store.GATEWAYS_TOPIC
    orders_topic: str = store.ORDERS_TOPIC
    origins_topic: str = store.ORIGINS_TOPIC
    reports_topic: str = store.REPORTS_TOPIC
    dialect: ModuleType = dialect
    orders: ModuleType = orders
    duties: ModuleType = duties

    def make_store(
        self, settings: GatewaySettings, clock: Callable[[], float]
    ) -> Store:
        """Make a client of the store.

        Args:
            settings: The gateway's settings, which hold the store's address.
            clock: Returns the current time, monotonic seconds.
        """
        return Store(settings.store, clock)

    def decode_configuration(self, data: bytes) -> RouteTable:
        """Decode the operator's configuration.

        Raises:
            BadDocumentError: If it is invalid.
        """
        return documents.decode_configuration(data)

    def decode_announcement(self, id: str, data: bytes) -> Announcement:
        """Decode a target's entry.

        Args:
            id: The target's id, which is the entry's key.
            data: The entry.

        Raises:
            BadDocumentError: If it describes no usable target.
        """
        return documents.decode_announcement(id, data)
