"""Counters and latency histograms of an edge process.

The library for the text format is loaded at the first scrape, so that a process that is
never scraped does not hold it in memory.
"""

from hdrh.histogram import HdrHistogram

from ..process_use import read_process_gauges

# Range and precision of the latency histograms: 1 ms to 2 minutes, two significant
# digits.
HISTOGRAM_MAX_MS = 120_000
HISTOGRAM_DIGITS = 2
# Percentiles of the latency metric, which names them in its label ``quantile``.
PERCENTILES = (50.0, 90.0, 99.0)
# Maximum number of label sets of the calls counter. Calls with further label sets are
# counted with the service and reason "other".
N_LABEL_SETS_MAX = 200


class EdgeMetrics:
    """Counters, latency histograms and gauges of one process.

    ``calls`` maps (service, outcome, reason) to the number of finished calls. The
    reason of an answered call is its status. ``latencies`` maps a service to the
    histogram of its answered calls. ``gauges`` maps a name to a function that returns
    the value. ``n_load_probes`` is the number of load probes that requests sent and
    that were answered or failed. ``state_changes`` maps (component, event) to the
    number of such changes. ``count_left`` returns the number of requests that left this
    failure domain, by service and reason.
    ``read_answer_counts`` returns the number of answers that
    roll-outs have judged, by service, version and judgement.
    """

    __slots__ = (
        "calls",
        "latencies",
        "gauges",
        "n_load_probes",
        "state_changes",
        "count_left",
        "read_answer_counts",
    )

    def __init__(self):
        self.calls = {}
        self.latencies = {}
        self.gauges = {}
        self.n_load_probes = 0
        self.state_changes = {}
        self.count_left = dict
        self.read_answer_counts = dict

    def count_edge_call(self, call, outcome, now_ms):
        """Count a finished call by its outcome; record its latency if it was answered.

        ``outcome`` is the Ok of an Answer or the Err of a Refusal.
        """
        service = call.policy.service_name if call.policy else "unknown"
        if outcome.is_err():
            refusal = outcome.err_value
            self._count(service, refusal.certainty, refusal.reason)
            return
        self._count(service, "ran", str(outcome.ok_value.status))
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = HdrHistogram(1, HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS)
            self.latencies[service] = histogram
        elapsed_ms = int(now_ms - call.request.arrived_at_ms)
        histogram.record_value(min(HISTOGRAM_MAX_MS, max(1, elapsed_ms)))

    def count_state_change(self, change):
        """Count a StateChange, such as a target that says that it leaves."""
        key = (change.component, change.event)
        self.state_changes[key] = self.state_changes.get(key, 0) + 1

    def _count(self, service, outcome, reason):
        key = (service, outcome, reason)
        if key not in self.calls and len(self.calls) >= N_LABEL_SETS_MAX:
            key = ("other", outcome, "other")
        self.calls[key] = self.calls.get(key, 0) + 1

    def render(self):
        """Return the metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, Gauge, generate_latest

        registry = CollectorRegistry()
        calls = Gauge(
            "hornbeamstand_calls_total",
            "Finished calls",
            ["service", "outcome", "reason"],
            registry=registry,
        )
        for key, count in self.calls.items():
            calls.labels(*key).set(count)
        changes = Gauge(
            "hornbeamstand_state_changes_total",
            "Changes of state that were noticed",
            ["component", "event"],
            registry=registry,
        )
        for key, count in self.state_changes.items():
            changes.labels(*key).set(count)
        left = Gauge(
            "hornbeamstand_left_domain_total",
            "Sends to targets in other failure domains",
            ["service", "reason"],
            registry=registry,
        )
        for key, count in self.count_left().items():
            left.labels(*key).set(count)
        answers = Gauge(
            "hornbeamstand_rollout_answers_total",
            "Ends of sends that a roll-out has judged",
            ["service", "version", "judgement"],
            registry=registry,
        )
        for key, count in self.read_answer_counts().items():
            answers.labels(*key).set(count)
        latency = Gauge(
            "hornbeamstand_latency_ms",
            "Latency of answered calls",
            ["service", "quantile"],
            registry=registry,
        )
        for service, histogram in self.latencies.items():
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                latency.labels(service, str(percentile)).set(value)
        values = {name: read() for name, read in self.gauges.items()}
        values |= read_process_gauges()
        for name, value in values.items():
            Gauge(f"hornbeamstand_{name}", name, registry=registry).set(value)
        return generate_latest(registry)
