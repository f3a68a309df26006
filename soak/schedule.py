"""Draws the faults of one run from its seed: the same seed, the same faults."""

from random import Random

from hornbeamstand_core.records import Record

# Time at the start without faults, and at the end for the last checks.
FAULT_FREE_START_S = 1.5
FAULT_FREE_END_S = 6.0
# A series is this many faults of one kind in quick succession.
N_SERIES_MAX = 3
SERIES_GAP_MAX_S = 0.8
FAULT_MAX_S = 3.0
FAULT_MIN_S = 0.3
# The mean time between two draws; faults overlap.
MEAN_INTERVAL_S = 0.9

# Kinds by what they strike. Planned work harms no caller.
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
PLANNED_KINDS = frozenset(
    [*PLANNED_VM_KINDS, *PLANNED_SERVER_KINDS, *PLANNED_OPERATOR_KINDS]
)
GROUPS = (
    (VM_KINDS, 3),
    (PLANNED_VM_KINDS, 3),
    (STORE_KINDS, 4),
    (SERVER_KINDS, 5),
    (PLANNED_SERVER_KINDS, 1),
    (PLANNED_OPERATOR_KINDS, 3),
)


class Fault(Record):
    """One fault; ``index`` picks what it strikes, modulo how many there are."""

    __slots__ = ("at_s", "kind", "index", "duration_s")

    def __init__(self, at_s, kind, index, duration_s):
        self.at_s = at_s
        self.kind = kind
        self.index = index
        self.duration_s = duration_s


def draw_faults(seed, length_s):
    """Return the faults of a run, by time."""
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


def draw_series(rng, kind, at_s, end_s):
    """Return one to a few faults of a kind."""
    faults = []
    for i in range(rng.randint(1, N_SERIES_MAX)):
        start_s = at_s + i * SERIES_GAP_MAX_S * rng.random()
        duration_s = min(rng.uniform(FAULT_MIN_S, FAULT_MAX_S), end_s - start_s)
        if duration_s > 0.0:
            faults.append(Fault(start_s, kind, rng.randrange(1000), duration_s))
    return faults
