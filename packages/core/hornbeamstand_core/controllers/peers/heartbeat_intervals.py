"""How often entry VMs exchange heartbeats, and from when on a peer counts as silent."""

# Intervals of heartbeats to peers of the same failure domain. Preferred VMs use the
# short one: callers depend on them, so their loss must be noticed soon.
LOCAL_SHORT_MS = 250.0
LOCAL_LONG_MS = 750.0
# Intervals of heartbeats to peers of other failure domains. The short one applies
# between two preferred VMs.
REMOTE_SHORT_MS = 1000.0
REMOTE_LONG_MS = 60_000.0
# Maximum silence of a live peer, in intervals of its heartbeats.
N_SILENT_INTERVALS = 3.4
# Time after its last heartbeat for which a VM that has become silent may have run, in
# the same intervals: heartbeats may be late by a part of one.
N_LATE_INTERVALS = 1.5


def interval_ms(sender, other_domain, is_other_preferred):
    """Return the interval of heartbeats from one VM to another.

    ``sender`` is a heartbeat of the first VM, the other values are of the second.
    """
    if sender.failure_domain == other_domain:
        return LOCAL_SHORT_MS if sender.is_preferred else LOCAL_LONG_MS
    are_both_preferred = sender.is_preferred and is_other_preferred
    return REMOTE_SHORT_MS if are_both_preferred else REMOTE_LONG_MS


def silence_max_ms(sender, other_domain, is_other_preferred):
    """Return the maximum silence of a live VM towards another."""
    return N_SILENT_INTERVALS * interval_ms(sender, other_domain, is_other_preferred)
