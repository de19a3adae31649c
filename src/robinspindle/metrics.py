"""Metrics: counters in Prometheus text, latencies in HDR histograms."""

import threading
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


class Latencies(Collector):
    """HDR histograms by metric name and class of work, microseconds inside."""

    def __init__(self):
        self._lock = threading.Lock()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def record(self, name: str, work: str, seconds: float) -> None:
        """Record one duration."""
        value = min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6)))
        with self._lock:
            histogram = self._histograms.get((name, work))
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._histograms[(name, work)] = histogram
            histogram.record_value(value)

    def collect(self) -> Iterable[SummaryMetricFamily]:
        """Yield the histograms for the registry, as quantiles in seconds."""
        with self._lock:
            items = sorted(self._histograms.items())
            families: dict[str, SummaryMetricFamily] = {}
            for (name, work), histogram in items:
                family = families.get(name)
                if family is None:
                    family = SummaryMetricFamily(
                        f"robinspindle_{name}_seconds", f"{name} by class of work"
                    )
                    families[name] = family
                _add_quantiles(family, name, work, histogram)
        yield from families.values()


def _add_quantiles(
    family: SummaryMetricFamily, name: str, work: str, histogram: HdrHistogram
) -> None:
    metric = f"robinspindle_{name}_seconds"
    count = histogram.get_total_count()
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile) / 1e6
        labels = {"work": work, "quantile": str(quantile / 100)}
        family.add_sample(metric, labels, value)
    total = histogram.get_mean_value() * count / 1e6
    family.add_sample(f"{metric}_count", {"work": work}, count)
    family.add_sample(f"{metric}_sum", {"work": work}, total)


class EntryMetrics:
    """Metrics of an entry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.latencies = Latencies()
        self.registry.register(self.latencies)
        self.requests = Counter(
            "robinspindle_requests",
            "Requests by class of work and how they ended",
            ["work", "end"],
            registry=self.registry,
        )
        self.tokens = Counter(
            "robinspindle_tokens", "Tokens delivered", registry=self.registry
        )
        self.in_flight = Gauge(
            "robinspindle_in_flight", "Requests under way", registry=self.registry
        )
        self.caller_bytes = Gauge(
            "robinspindle_caller_bytes",
            "What callers make the process hold, bytes",
            registry=self.registry,
        )
        self.offset = Gauge(
            "robinspindle_log_offset", "Control stream offset", registry=self.registry
        )


class AgentMetrics:
    """Metrics of an agent."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.runs = Counter(
            "robinspindle_runs",
            "Runs by how they ended",
            ["end"],
            registry=self.registry,
        )
        self.orders = Counter(
            "robinspindle_orders", "Orders by outcome", ["end"], registry=self.registry
        )
        self.running = Gauge(
            "robinspindle_running", "Runs under way", registry=self.registry
        )
        self.queued = Gauge(
            "robinspindle_queued", "Requests waiting", registry=self.registry
        )


def format_metrics(registry: CollectorRegistry) -> bytes:
    """Write all metrics of a registry as Prometheus text."""
    return generate_latest(registry)
