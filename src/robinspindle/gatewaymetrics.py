"""Metrics of a gateway: counters and HDR histograms in Prometheus text."""

import contextlib

from prometheus_client import CollectorRegistry, Counter, Gauge

from robinspindle.callerlimits import Relief
from robinspindle.ends import End
from robinspindle.metrics import Latencies


class GatewayMetrics:
    """Metrics of a gateway.

    Attributes:
        registry: All of them.
        latencies: Times to the first byte and to the end, by route.
        requests: Requests by route and how they ended.
        prompts: The same of requests with a prompt, by the class of its length too.
        tries: Sendings to targets by service and how they ended.
        target_tries: The same by target.
        prompt_tokens: Tokens of prompts by whether they were believed to be cached.
        repeats: Repeats taken from the budget.
        hedges: Second attempts beside targets that fell silent.
        copies: Answers by whether they got a copy at another engine, or why not.
        continued: Answers that went on from a copy, by how that ended.
        moves: Steps of moves of answers by their outcome.
        failures: Errors nobody foresaw so far, by the part of the program.
        ports_waiting: Ports of this process that another one holds.
        pauses: Times that the process was paused: suspended, or not run.
        surplus_answers: Targets' answers that belong to no request under way.
        store_silences: Connections to the store that were found silent.
        turned_away: Attempts that were turned away for that.
        connections_turned_away: Connections that were closed unread, as the gateway had
            more work than it could do.
        denied_repeats: Repeats that the budget did not allow.
        version: Version of the configuration in force; 0 for none.
        version_findings: Values of it that could not be used as they are.
        is_version_unreadable: Whether the store holds one that can't be read.
        version_age: Time since it was known to be the newest, seconds.
        targets: Targets that may get work.
        limited: Targets that have lately named a limit on their request rate.
        leaving: Targets that are about to leave, by their entries or answers.
        resting: Targets that have asked for rest.
        room_set_aside: Slots of engines set aside for requests not sent there yet.
        room_tokens: Memory that the requests of all gateways take at engines, tokens.
        room_short: Engines whose memory the requests of all gateways fill.
        room_claim_age: Age of this gateway's oldest claim on an engine, seconds.
        peers: Gateways heard lately.
        store_calls: Calls to the store so far.
        store_received: Bytes of the store's answers that came whole.
        store_wasted: Bytes of the store's answers that were given up or broke off.
        store_era: How often the store has returned from a copy, as it tells.
        eras_unreadable: Answers of the store whose era could not be read so far.
        store_away: Whether the store is away.
        left_zone: Sendings to another availability zone, by service and why.
        zone_traffic: Bytes to and from other availability zones so far, by cause.
        list_age: Age of what is known of the targets' entries, seconds.
        entries_unusable: Entries of targets that could not be used so far.
        introductions_unusable: Introductions of peers that could not be read so far.
        versions_unreadable: Records of versions that could not be read so far.
        records_passed_over: Records that could be read and not be applied so far, by
            topic.
        peers_refused: Datagrams of peers that were not believed so far.
        is_relay: Whether this gateway passes on what its group tells.
        peers_age: Age of the oldest news of a peer that is heard, seconds.
        quarantined: Requests that are turned away as they crash targets.
        suspected: Requests that met a crash and ended well nowhere since.
        quarantine_unreadable: Records of the quarantine that could not be read so far.
        usage_missed: Windows whose usage this gateway gave up so far.
        usage_reported: Windows whose usage is known to have been reported lately.
        streams_known: Streams whose origin is known.
        streams_begun: Streams that began or went on here so far.
        streams_asked: Streams for which other gateways were asked so far.
        streams_unknown: Streams taken up whose origin no gateway told so far.
        streams_looked_up: Streams taken up that were looked for in the store so far.
        streams_conflicting: Origins of another software version, not believed so far.
        take_ups: Streams taken up, by how their origin was found or looked for last.
        take_ups_refused: Those of them that were refused, not run, by the reason.
        left_out: Log lines left out so far.
        busy: Callers' requests under way.
        held_bytes: Bytes of answers held for callers that read slowly.
        held_waits: Times that a target was held back for such a caller so far.
        caller_bytes: Bytes that callers make the process hold, those answers among
            them.
        caller_connections: Connections of callers, at all ports.
        gave_way: Connections that gave way as callers held too much, by how.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        # The figures of the process come first: collectors may cut a page off, and
        # the counts by target take hundreds of lines.
        self.version = self._gauge("configuration_version", "Configuration in force")
        self.version_age = self._gauge(
            "configuration_age_seconds",
            "Time since the configuration was known to be the newest",
        )
        self.version_findings = self._gauge(
            "configuration_findings", "Values of it that could not be used as they are"
        )
        self.is_version_unreadable = self._gauge(
            "configuration_newest_unreadable", "Whether a newer one can't be read"
        )
        self.targets = self._gauge("targets", "Targets that may get work")
        self.limited = self._gauge(
            "targets_limited", "Targets that have lately named a limit"
        )
        self.leaving = self._gauge("targets_leaving", "Targets that are about to leave")
        self.resting = self._gauge(
            "targets_resting", "Targets that have asked this gateway for rest"
        )
        self.room_set_aside = self._gauge(
            "room_set_aside_slots", "Slots set aside for requests not sent there yet"
        )
        self.room_tokens = self._gauge(
            "room_taken_tokens", "Memory of engines that requests take"
        )
        self.room_short = self._gauge(
            "room_short_engines", "Engines whose memory is filled by requests"
        )
        self.room_claim_age = self._gauge(
            "room_oldest_claim_seconds", "Age of this gateway's oldest claim"
        )
        self.peers = self._gauge("peers", "Gateways heard lately")
        self.store_calls = self._gauge("store_calls", "Calls to the store so far")
        self.store_received = self._gauge(
            "store_received_bytes", "Bytes of the store's answers that came whole"
        )
        self.store_wasted = self._gauge(
            "store_wasted_bytes", "Bytes of the store's answers that were given up"
        )
        self.store_era = self._gauge(
            "store_era", "How often the store has returned from a copy"
        )
        self.eras_unreadable = self._gauge(
            "store_eras_unreadable", "Answers whose era could not be read so far"
        )
        self.store_away = self._gauge("store_away", "Whether the store is away")
        self.zone_traffic = self._gauge(
            "zone_traffic_bytes",
            "Bytes to and from other availability zones so far, by cause",
            "cause",
        )
        self.list_age = self._gauge(
            "targets_list_age_seconds", "Age of what is known of the targets' entries"
        )
        self.entries_unusable = self._gauge(
            "targets_entries_unusable", "Targets' entries that could not be used so far"
        )
        self.introductions_unusable = self._gauge(
            "peers_introductions_unusable",
            "Gateways' introductions that could not be read so far",
        )
        self.versions_unreadable = self._gauge(
            "versions_unreadable", "Versions' records that could not be read so far"
        )
        self.records_passed_over = self._gauge(
            "records_passed_over",
            "Records of the store that could not be applied so far",
            "topic",
        )
        self.peers_age = self._gauge(
            "peers_age_seconds", "Age of the oldest news of a peer that is heard"
        )
        self.peers_refused = self._gauge(
            "peers_refused_datagrams", "Datagrams that were not believed so far"
        )
        self.is_relay = self._gauge(
            "peers_is_relay", "Whether it passes on what its group tells"
        )
        self.quarantined = self._gauge(
            "quarantine_requests", "Requests turned away as they crash targets"
        )
        self.suspected = self._gauge(
            "quarantine_suspected", "Requests that met a crash of a target"
        )
        self.quarantine_unreadable = self._gauge(
            "quarantine_unreadable", "Records that could not be read so far"
        )
        self.usage_missed = self._gauge(
            "usage_windows_missed", "Windows whose usage was given up so far"
        )
        self.usage_reported = self._gauge(
            "usage_windows_reported", "Windows lately known to have been reported"
        )
        self.streams_known = self._gauge(
            "streams_known", "Streams whose origin is known"
        )
        self.streams_begun = self._gauge(
            "streams_begun", "Streams that began or went on here so far"
        )
        self.streams_asked = self._gauge(
            "streams_asked", "Streams for which other gateways were asked so far"
        )
        self.streams_unknown = self._gauge(
            "streams_unknown", "Streams taken up whose origin no gateway told so far"
        )
        self.streams_looked_up = self._gauge(
            "streams_looked_up", "Streams taken up, looked for in the store so far"
        )
        self.streams_conflicting = self._gauge(
            "streams_conflicting", "Origins of another version, not believed so far"
        )
        self.left_out = self._gauge("log_lines_left_out", "Log lines left out so far")
        self.busy = self._gauge("in_flight", "Callers' requests under way")
        self.target_slowness = self._gauge(
            "target_slowness",
            "Time of a target's work relative to its service's, as believed",
            "target",
        )
        self.held_bytes = self._gauge(
            "held_bytes", "Bytes of answers held for callers that read slowly"
        )
        self.held_waits = self._gauge(
            "held_waits", "Times that a target was held back for such a caller"
        )
        self.caller_bytes = self._gauge(
            "caller_bytes", "Bytes that callers make the process hold"
        )
        self.caller_connections = self._gauge(
            "caller_connections", "Connections of callers, at all ports"
        )
        self.gave_way = self._count(
            "gave_way", "Connections that gave way, as callers held too much", "how"
        )
        self.latencies = Latencies()
        self.registry.register(self.latencies)
        self.requests = self._count(
            "requests", "Requests by route and how they ended", "route", "end"
        )
        self.prompts = self._count(
            "prompts",
            "Requests with a prompt by route, most tokens of its class, and end",
            "route",
            "size",
            "end",
        )
        self.left_zone = self._count(
            "left_zone",
            "Requests planned in another zone, by service and why",
            "service",
            "reason",
        )
        self.tries = self._count(
            "tries", "Sendings by service and how they ended", "service", "end"
        )
        self.target_tries = self._count(
            "target_tries", "Sendings by target and how they ended", "target", "end"
        )
        self.prompt_tokens = self._count(
            "prompt_tokens", "Tokens of prompts, read or believed to be cached", "how"
        )
        self.take_ups = self._count(
            "take_ups", "Streams taken up, by how their origin was found", "by"
        )
        self.take_ups_refused = self._count(
            "take_ups_refused", "Streams taken up and refused, by the reason", "reason"
        )
        self.repeats = self._count("repeats", "Repeats taken from the budget")
        self.hedges = self._count(
            "hedges", "Second attempts beside targets that fell silent"
        )
        self.copies = self._count(
            "copies", "Answers by whether they got a copy, or why not", "outcome"
        )
        self.continued = self._count(
            "continued", "Answers that went on from a copy, by their end", "end"
        )
        self.moves = self._count(
            "moves", "Moves of answers by their outcome", "outcome"
        )
        self.failures = self._count(
            "unexpected_errors", "Errors nobody foresaw, by part of the program", "part"
        )
        self.ports_waiting = self._gauge(
            "ports_waiting", "Ports of this process that can't be opened yet"
        )
        self.pauses = self._count("pauses", "Times that the process was paused")
        self.connections_turned_away = self._count(
            "connections_turned_away", "Connections closed unread by a busy gateway"
        )
        self.surplus_answers = self._count(
            "surplus_answers", "Targets' answers that belong to no request under way"
        )
        self.store_silences = self._count(
            "store_silences", "Connections to the store that were found silent"
        )
        self.turned_away = self._count(
            "turned_away", "Attempts turned away as their request crashes targets"
        )
        self.denied_repeats = self._count(
            "denied_repeats", "Repeats that the budget did not allow"
        )

    def count_try(self, service: str, target: str, end: str) -> None:
        """Count how one sending to a target ended."""
        self.tries.labels(service, end).inc()
        self.target_tries.labels(target, end).inc()

    def count_failure(self, part: str) -> None:
        """Count an error nobody foresaw in a part of the program."""
        self.failures.labels(part).inc()

    def count_relief(self, relief: Relief) -> None:
        """Count a connection that gave way."""
        self.gave_way.labels(relief.value).inc()

    def forget_target(self, target: str) -> None:
        """Drop the counts of a target that is gone, so that they don't add up."""
        for end in End:
            with contextlib.suppress(KeyError):
                self.target_tries.remove(target, end.value)

    def _count(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"robinspindle_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"robinspindle_{name}", text, labels, registry=self.registry)
