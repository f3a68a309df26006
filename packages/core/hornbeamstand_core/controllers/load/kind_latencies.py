"""How long the requests of a service take, by their kind.

It answers a load of several kinds of requests to one service, of which some take much
longer than others: with one mean for all, the short ones would be refused as too late.
Kinds are told apart by their latency objectives, since routes of like work have like
objectives.
"""

from math import log2

from ...messages import STATUS_ERROR, SendFailure

# Weight of a new latency in the mean of its kind.
MEAN_WEIGHT = 0.05
# Number of kinds within a doubling of the latency objective.
N_KINDS_PER_DOUBLING = 2
# Maximum latency objective that makes a kind of its own. It bounds their number.
OBJECTIVE_MAX_MS = 600_000.0


class KindLatencies:
    """The moving average of the latencies of each kind of request."""

    __slots__ = ("_mean_ms",)

    def __init__(self):
        self._mean_ms = {}

    def note(self, permit, result, latency_ms):
        """Update the mean of a kind from a send that ended, if it succeeded."""
        if isinstance(result, SendFailure) or result.status >= STATUS_ERROR:
            return
        kind = kind_of(permit.objective_ms)
        mean_ms = self._mean_ms.get(kind, latency_ms)
        self._mean_ms[kind] = mean_ms + MEAN_WEIGHT * (latency_ms - mean_ms)

    def mean_ms(self, objective_ms, service_mean_ms):
        """Return the mean latency of a kind, or the service's before the first."""
        return self._mean_ms.get(kind_of(objective_ms), service_mean_ms or 0.0)


def kind_of(objective_ms):
    """Return the kind of a request with a latency objective."""
    objective_ms = max(1.0, min(OBJECTIVE_MAX_MS, objective_ms))
    return int(N_KINDS_PER_DOUBLING * log2(objective_ms))
