"""A service's baseline latency, over all targets that this VM owns."""

# Weight of the newest completion in the moving mean.
MEAN_WEIGHT = 0.02
# A completion is slow if its latency exceeds both this multiple of the mean and this
# quantile of the latencies.
SLOW_FACTOR = 2.5
SLOW_QUANTILE = 0.97
# Step by which the estimate of the quantile moves, as a share of the mean.
QUANTILE_STEP = 0.1


class BaselineLatency:
    """Moving estimates of the mean latency and of a high quantile.

    ``mean_ms`` is None before the first completion.
    """

    __slots__ = ("mean_ms", "quantile_ms")

    def __init__(self):
        self.mean_ms = None
        self.quantile_ms = 0.0

    def note(self, latency_ms):
        """Update both estimates with one good completion."""
        if self.mean_ms is None:
            self.mean_ms = latency_ms
            self.quantile_ms = SLOW_FACTOR * latency_ms
        self.mean_ms += MEAN_WEIGHT * (latency_ms - self.mean_ms)
        step_ms = QUANTILE_STEP * self.mean_ms
        if latency_ms > self.quantile_ms:
            self.quantile_ms += step_ms * SLOW_QUANTILE
        else:
            self.quantile_ms -= step_ms * (1.0 - SLOW_QUANTILE)

    def is_slow(self, latency_ms):
        """Return whether a completion was slow compared with the baseline."""
        if self.mean_ms is None:
            return False
        return latency_ms > max(SLOW_FACTOR * self.mean_ms, self.quantile_ms)

    def mean_or_zero_ms(self):
        """Return the mean, or 0 before the first completion."""
        return self.mean_ms or 0.0
