"""The limit of an edge process's file descriptors, and the connections it allows."""

import resource
from contextlib import suppress
from math import inf

from hornbeamstand_core.records import Record

# Number of descriptors up to which the own program raises the limit it inherits.
N_DESCRIPTORS_WANTED = 16_384
# Least number and share of the descriptors that are kept for everything but the
# connections that are limited here: standard streams, the event loop, listeners, the
# store's connections, lookups, readiness checks and files. A platform may keep a part
# of its figure for files.
N_OTHER_DESCRIPTORS_MIN = 24
OTHER_DESCRIPTORS_SHARE = 1 / 16
# Share of callers among the connections that are accepted; the others are peers.
CALLERS_SHARE = 2 / 3


class ConnectionLimits(Record):
    """Maximum numbers of open connections, by who opens them.

    ``n_callers_max`` and ``n_peers_max`` are connections that are accepted,
    ``n_sends_max`` those that this VM opens to targets and peers. Each accepted one can
    carry a request, for which a descriptor is left.
    """

    __slots__ = ("n_callers_max", "n_peers_max", "n_sends_max")

    @classmethod
    def from_descriptors(cls, n_descriptors):
        """Return the limits for a number of descriptors; infinity for no limit."""
        self = cls()
        if n_descriptors == inf:
            self.n_callers_max = self.n_peers_max = self.n_sends_max = inf
            return self
        n_other = int(OTHER_DESCRIPTORS_SHARE * n_descriptors)
        n_other = max(N_OTHER_DESCRIPTORS_MIN, n_other)
        n_accepted_max = max(2, (n_descriptors - n_other) // 2)
        self.n_callers_max = max(1, int(CALLERS_SHARE * n_accepted_max))
        self.n_peers_max = n_accepted_max - self.n_callers_max
        self.n_sends_max = n_accepted_max
        return self


def prepare_descriptors(n_stated, log):
    """Allow this process the stated number of descriptors; return the number in force.

    The limit that a process inherits may be lower. What the system doesn't allow is
    logged. ``n_stated`` is 0 if the settings state none.
    """
    n_allowed = raise_soft_limit(n_stated)
    if n_allowed < n_stated:
        log.warning(
            "process: descriptors limited",
            descriptors_limit=n_allowed,
            stated=n_stated,
        )
    return min(n_allowed, n_stated or inf)


def raise_soft_limit(n_wanted):
    """Raise the soft limit towards ``n_wanted``; return the limit in force."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    n_soft, n_hard = to_number(soft), to_number(hard)
    if n_soft < n_wanted and n_soft < n_hard:
        with suppress(OSError, ValueError):
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (int(min(n_wanted, n_hard)), hard)
            )
    return to_number(resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def to_number(limit):
    """Return a limit of the system; infinity for none."""
    return inf if limit == resource.RLIM_INFINITY else limit
