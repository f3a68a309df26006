"""Counters and latency histograms, and their text format."""

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

# Histograms count microseconds, from 1 us to 10 minutes, to two digits.
HISTOGRAM_MAX_US = 600_000_000
HISTOGRAM_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """The process's metrics."""

    __slots__ = ("registry", "calls", "latency_gauge", "histograms", "gauges")

    def __init__(self):
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "hornbeamstand_calls",
            "Finished calls by outcome",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.latency_gauge = Gauge(
            "hornbeamstand_latency_ms",
            "Latency of answered calls",
            ["service", "target", "quantile"],
            registry=self.registry,
        )
        self.histograms = {}
        self.gauges = {}

    def count_call(self, call, outcome, now_ms):
        """Count one finished call."""
        name = call.request.service_name if call.service else "unknown"
        if outcome.is_err():
            self.calls.labels(name, outcome.err_value.certainty).inc()
            return
        self.calls.labels(name, "ran").inc()
        elapsed_us = int((now_ms - call.request.arrived_at_ms) * 1000.0)
        for target_id in ("", outcome.ok_value.target_id):
            self._histogram(name, target_id).record_value(
                min(HISTOGRAM_MAX_US, max(1, elapsed_us))
            )

    def _histogram(self, name, target_id):
        key = (name, target_id)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
            self.histograms[key] = histogram
        return histogram

    def set_gauge(self, name, value, **labels):
        """Set one gauge; made when first used."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f"hornbeamstand_{name}", name, list(labels), registry=self.registry
            )
            self.gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set(value)

    def render(self):
        """Return the metrics in the usual text format."""
        for (name, target_id), histogram in self.histograms.items():
            for quantile in QUANTILES:
                value_us = histogram.get_value_at_percentile(quantile)
                gauge = self.latency_gauge.labels(name, target_id, str(quantile))
                gauge.set(value_us / 1000.0)
        return generate_latest(self.registry)
