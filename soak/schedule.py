"""Draws the faults of one run; the same seed always gives the same faults."""

from random import Random

from hornbeamstand_core.records import Record

# Time without faults at the start of a run, and at its end for the last checks.
FAULT_FREE_START_S = 1.5
FAULT_FREE_END_S = 6.0
# Maximum number of faults in a series: faults of one kind in quick succession.
N_SERIES_MAX = 3
# Maximum gap of a series: its fault i, counted from 0, starts at most i times this
# after the first one.
SERIES_GAP_MAX_S = 0.8
# Maximum and minimum duration of a fault.
FAULT_MAX_S = 3.0
FAULT_MIN_S = 0.3
# Mean time between the starts of two series. Faults may overlap.
MEAN_INTERVAL_S = 0.9
# Mean time between the starts of two notices.
NOTICE_MEAN_INTERVAL_S = 1.5
# Mean time between the starts of two faults in which a server's answers have no status.
NO_STATUS_MEAN_INTERVAL_S = 8.0

# Kinds of faults, by what they affect. Planned work must not harm any caller.
VM_KINDS = ("kill", "pause", "kill-many")
PLANNED_VM_KINDS = ("stop", "reload")
STORE_KINDS = (
    "store-busy",
    "store-many",
    "store-silent",
    "store-lost",
    "store-forgets",
    "store-refuses-one",
    "store-reset",
    "store-delay",
    "store-cut",
    "store-one-way",
)
SERVER_KINDS = (
    "server-slow",
    "server-sheds",
    "server-errors",
    "server-cuts",
    "server-extra",
    "server-reset",
    "server-delay",
    "server-silent",
    "server-one-way",
    "server-again",
    "server-cold",
)
PLANNED_SERVER_KINDS = ("server-drains",)
PLANNED_OPERATOR_KINDS = ("domain-out", "config")
# What servers say of themselves, and entries that name no server.
NOTICE_KINDS = ("notice-leaving", "notice-pause", "notice-cold", "foreign-entry")
PLANNED_KINDS = frozenset(
    [
        *PLANNED_VM_KINDS,
        *PLANNED_SERVER_KINDS,
        *PLANNED_OPERATOR_KINDS,
        *NOTICE_KINDS,
    ]
)
# Groups of kinds with their weights in the draw.
GROUPS = (
    (VM_KINDS, 3),
    (PLANNED_VM_KINDS, 3),
    (STORE_KINDS, 4),
    (SERVER_KINDS, 5),
    (PLANNED_SERVER_KINDS, 1),
    (PLANNED_OPERATOR_KINDS, 3),
)


class Fault(Record):
    """One fault, which starts at ``at_s`` and lasts ``duration_s``.

    ``index``, modulo the number of VMs, servers or domains, picks the affected one.
    """

    __slots__ = ("at_s", "kind", "index", "duration_s")

    def __init__(self, at_s, kind, index, duration_s):
        self.at_s = at_s
        self.kind = kind
        self.index = index
        self.duration_s = duration_s


def draw_faults(seed, length_s):
    """Return the faults of a run of ``length_s``, ordered by time."""
    rng = Random(seed)
    faults = []
    at_s = FAULT_FREE_START_S
    end_s = length_s - FAULT_FREE_END_S
    weights = [weight for _, weight in GROUPS]
    while True:
        at_s += rng.expovariate(1.0 / MEAN_INTERVAL_S)
        if at_s >= end_s:
            break
        kinds = rng.choices(GROUPS, weights)[0][0]
        kind = rng.choice(kinds)
        faults += draw_series(rng, kind, at_s, end_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_notices(seed, length_s):
    """Return the notices of a run, from a random stream of their own."""
    return draw_apart(NOTICE_KINDS, Random(f"{seed}-notices"), length_s)


def draw_cold_notices(seed, length_s):
    """Return notices of cold starts only, for a run without faults."""
    return draw_apart(["notice-cold"], Random(f"{seed}-cold"), length_s)


def draw_invalid_statuses(seed, length_s):
    """Return faults in which a server's answers have no valid status."""
    rng = Random(f"{seed}-status")
    return draw_apart(["server-no-status"], rng, length_s, NO_STATUS_MEAN_INTERVAL_S)


def draw_apart(kinds, rng, length_s, mean_interval_s=NOTICE_MEAN_INTERVAL_S):
    """Return faults of the given kinds from a random stream, ordered by time.

    A stream of their own leaves the other faults of each seed as they are.
    """
    faults = []
    at_s = FAULT_FREE_START_S
    end_s = length_s - FAULT_FREE_END_S
    while True:
        at_s += rng.expovariate(1.0 / mean_interval_s)
        if at_s >= end_s:
            return faults
        duration_s = min(rng.uniform(FAULT_MIN_S, FAULT_MAX_S), end_s - at_s)
        kind = rng.choice(kinds)
        faults.append(Fault(at_s, kind, rng.randrange(1000), duration_s))


def draw_all(seed, length_s):
    """Return the faults and notices of a run, ordered by time."""
    faults = draw_faults(seed, length_s) + draw_notices(seed, length_s)
    faults += draw_invalid_statuses(seed, length_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_series(rng, kind, at_s, end_s):
    """Return a series of faults of one kind, all of which end by ``end_s``."""
    faults = []
    for i in range(rng.randint(1, N_SERIES_MAX)):
        start_s = at_s + i * SERIES_GAP_MAX_S * rng.random()
        duration_s = min(rng.uniform(FAULT_MIN_S, FAULT_MAX_S), end_s - start_s)
        if duration_s > 0.0:
            faults.append(Fault(start_s, kind, rng.randrange(1000), duration_s))
    return faults
