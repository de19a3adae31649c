"""Metrics of a gateway: counters and HDR histograms in Prometheus text."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from robinspindle.metrics import Latencies


class GatewayMetrics:
    """Metrics of a gateway.

    Attributes:
        registry: All of them.
        latencies: Times to the first byte and to the end, by route.
        requests: Requests by route and how they ended.
        tries: Sendings to targets by service and how they ended.
        prompt_tokens: Tokens of prompts by whether they were believed to be cached.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        self.latencies = Latencies()
        self.registry.register(self.latencies)
        self.requests = self._count(
            "requests", "Requests by route and how they ended", "route", "end"
        )
        self.tries = self._count(
            "tries", "Sendings by service and how they ended", "service", "end"
        )
        self.prompt_tokens = self._count(
            "prompt_tokens", "Tokens of prompts, read or believed to be cached", "how"
        )
        self.repeats = self._count("repeats", "Repeats taken from the budget")
        self.denied_repeats = self._count(
            "denied_repeats", "Repeats that the budget did not allow"
        )
        self.version = self._gauge("configuration_version", "Configuration in force")
        self.targets = self._gauge("targets", "Targets that may get work")
        self.peers = self._gauge("peers", "Gateways heard lately")
        self.store_calls = self._gauge("store_calls", "Calls to the store so far")
        self.store_away = self._gauge("store_away", "Whether the store is away")
        self.list_age = self._gauge(
            "targets_list_age_seconds", "Age of what is known of the targets' entries"
        )
        self.left_out = self._gauge("log_lines_left_out", "Log lines left out so far")
        self.busy = self._gauge("in_flight", "Callers' requests under way")

    def _count(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"robinspindle_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"robinspindle_{name}", text, registry=self.registry)
