"""Call counters, latency histograms and gauges, in the Prometheus text format."""

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

# Range and precision of the latency histograms: from 1 us to 10 minutes, with two
# significant digits.
HISTOGRAM_MAX_US = 600_000_000
HISTOGRAM_DIGITS = 2
# Percentiles of the latency metric, which names them in its label ``quantile``.
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class ServiceMetrics:
    """Counters by outcome and latency histograms by target id, of one service.

    The counters are kept here because a lookup by labels for each call is slower.
    """

    __slots__ = ("counters", "histograms")

    def __init__(self):
        self.counters = {}
        self.histograms = {}


class Metrics:
    """The metrics of the process.

    ``services`` maps a service name to its ServiceMetrics, and ``gauges`` a name
    without the prefix ``hornbeamstand_`` to its gauge.
    """

    __slots__ = ("registry", "calls", "latency_gauge", "services", "gauges")

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
            "Latency of answered calls; without a target, of the service",
            ["service", "target", "quantile"],
            registry=self.registry,
        )
        self.services = {}
        self.gauges = {}

    def count_call(self, call, outcome, now_ms):
        """Count a finished call by its outcome; record its latency if it was answered.

        ``outcome`` is the Ok of an Answer or the Err of a Refusal.
        """
        name = call.request.service_name if call.service else "unknown"
        service = self.services.get(name)
        if service is None:
            service = self.services[name] = ServiceMetrics()
        if outcome.is_err():
            self._count(name, service, outcome.err_value.certainty)
            return
        self._count(name, service, "ran")
        elapsed_us = int((now_ms - call.request.arrived_at_ms) * 1000.0)
        histogram = self._histogram(service, outcome.ok_value.target_id)
        histogram.record_value(min(HISTOGRAM_MAX_US, max(1, elapsed_us)))

    def _count(self, name, service, outcome):
        counter = service.counters.get(outcome)
        if counter is None:
            counter = service.counters[outcome] = self.calls.labels(name, outcome)
        counter.inc()

    def _histogram(self, service, target_id):
        histogram = service.histograms.get(target_id)
        if histogram is None:
            histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
            service.histograms[target_id] = histogram
        return histogram

    def set_gauge(self, name, value, **labels):
        """Set a gauge, which is created on first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f"hornbeamstand_{name}", name, list(labels), registry=self.registry
            )
            self.gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set(value)

    def render(self):
        """Return the metrics in the Prometheus text format."""
        for name, service in self.services.items():
            total = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
            for target_id, histogram in service.histograms.items():
                total.add(histogram)
                self._set_percentiles(name, target_id, histogram)
            self._set_percentiles(name, "", total)
        return generate_latest(self.registry)

    def _set_percentiles(self, name, target_id, histogram):
        for percentile in PERCENTILES:
            value_us = histogram.get_value_at_percentile(percentile)
            gauge = self.latency_gauge.labels(name, target_id, str(percentile))
            gauge.set(value_us / 1000.0)
