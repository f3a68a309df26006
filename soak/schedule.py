"""Draws the faults of one run from its seed: the same seed, the same faults."""

from random import Random

from hornbeamstand_core.records import Record

# Time at the start without faults, and at the end for the last checks.
CALM_START_S = 1.5
CALM_END_S = 6.0
# A series is this many faults of one kind in quick succession.
SERIES_MAX = 3
SERIES_GAP_S = 0.8
FAULT_MAX_S = 3.0
FAULT_MIN_S = 0.3
# The mean time between two draws; faults overlap.
MEAN_GAP_S = 0.9

# Kinds by what they strike. Planned work harms no caller.
VM_KINDS = ("kill", "pause", "kill-many")
VM_PLANNED = ("stop", "reload")
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
SERVER_PLANNED = ("server-drains",)
OPERATOR_PLANNED = ("domain-out", "config")
PLANNED = frozenset([*VM_PLANNED, *SERVER_PLANNED, *OPERATOR_PLANNED])
GROUPS = (
    (VM_KINDS, 3),
    (VM_PLANNED, 3),
    (STORE_KINDS, 4),
    (SERVER_KINDS, 5),
    (SERVER_PLANNED, 1),
    (OPERATOR_PLANNED, 3),
)


class Fault(Record):
    """One fault; ``index`` picks what it strikes, modulo how many there are."""

    __slots__ = ("at_s", "kind", "index", "for_s")

    def __init__(self, at_s, kind, index, for_s):
        self.at_s = at_s
        self.kind = kind
        self.index = index
        self.for_s = for_s


def draw_faults(seed, length_s):
    """Return the faults of a run, by time."""
    rng = Random(seed)
    faults = []
    at_s = CALM_START_S
    end_s = length_s - CALM_END_S
    weights = [weight for _, weight in GROUPS]
    while True:
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
        if at_s >= end_s:
            break
        kinds = rng.choices(GROUPS, weights)[0][0]
        kind = rng.choice(kinds)
        faults += draw_series(rng, kind, at_s, end_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_series(rng, kind, at_s, end_s):
    """Return one to a few faults of a kind."""
    faults = []
    for i in range(rng.randint(1, SERIES_MAX)):
        start_s = at_s + i * SERIES_GAP_S * rng.random()
        for_s = min(rng.uniform(FAULT_MIN_S, FAULT_MAX_S), end_s - start_s)
        if for_s > 0.0:
            faults.append(Fault(start_s, kind, rng.randrange(1000), for_s))
    return faults
