"""Finds what must not happen beside a disturbed store."""

from collections import Counter

from .lost import MARGIN_S
from .records import ANSWERED
from .site import CONTACT_S, READY_S
from .touch import is_calm, is_core_stable, is_in_touch, overlaps

# Time in which a VM in touch reads a change from a store that is stable.
KNOWN_S = 1.0
# Length of a window in which refusals are counted, its step, and its least number of
# attempts.
WINDOW_S = 1.0
WINDOW_STEP_S = 0.25
N_ATTEMPTS_MIN = 30
REFUSED_SHARE_MAX = 1.0 / 3.0
# A start of so many of the VMs leaves too few that serve.
STARTED_SHARE = 0.8
STATUS_REFUSED = 503


def has_started_since(journal, stray):
    """Return whether the VM of a request started after the departure."""
    return any(
        name == stray.vm and stray.since_s <= at_s <= stray.at_s
        for name, at_s in journal.starts
    )


def knew(journal, stray):
    """Return whether a VM must have known of a departure while the store was stable."""
    from_s = stray.since_s - CONTACT_S
    until_s = stray.since_s + KNOWN_S
    return (
        is_core_stable(journal, from_s, until_s)
        and is_calm(journal, stray.vm, from_s, until_s)
        and not has_started_since(journal, stray)
    )


def could_learn(journal, stray):
    """Return whether the store, once it was stable, could tell a VM of a departure.

    It had acknowledged it while it was stable, and no return from a copy came before
    the VM started.
    """
    was_lost = any(
        work.kind == "store-copy" and overlaps(work, stray.since_s, stray.at_s)
        for work in journal.unplanned
    )
    was_stable = is_core_stable(journal, stray.since_s - CONTACT_S, stray.since_s)
    return was_stable and not (was_lost and has_started_since(journal, stray))


def check_strays(journal):
    """Return findings for requests at targets that had left or whose domain is out.

    A VM in touch must not send them, nor one that knew before the store's disruption.
    The sender of a request whose connection is closed already can't be told.
    """
    findings = []
    for stray in journal.strays:
        if not stray.vm:
            continue
        in_touch = is_in_touch(journal, stray.vm, stray.at_s)
        if in_touch and could_learn(journal, stray):
            findings.append(f"{stray.describe()}, in touch")
        elif knew(journal, stray):
            findings.append(f"{stray.describe()}, known before")
    return findings


def list_mass_starts(journal):
    """Return (from, to) in s of the times in which nearly all VMs have just started."""
    spans = []
    names = {name for name, _ in journal.starts}
    for _, at_s in journal.starts:
        young = {name for name, x in journal.starts if at_s - READY_S <= x <= at_s}
        if len(young) >= STARTED_SHARE * len(names):
            spans.append((at_s - READY_S, at_s + READY_S))
    return spans


def is_refused(attempt):
    """Return whether the system itself refused an attempt."""
    is_own = attempt.end == ANSWERED and not attempt.seal
    return is_own and attempt.status == STATUS_REFUSED


def count_refused(journal, work):
    """Return the number of refusals and of attempts beside an event."""
    until_s = work.end_s + MARGIN_S
    attempts = [x for x in journal.attempts if work.start_s <= x.began_s <= until_s]
    return sum(map(is_refused, attempts)), len(attempts)


def find_refused_windows(journal, work, mass_starts):
    """Return (start in s, refused, all) of each window with too many refusals."""
    windows = []
    start_s = work.start_s
    while start_s < work.end_s + CONTACT_S:
        end_s = start_s + WINDOW_S
        found = [x for x in journal.attempts if start_s <= x.began_s < end_s]
        n_refused = sum(map(is_refused, found))
        is_excused = any(
            from_s <= end_s and start_s <= to_s for from_s, to_s in mass_starts
        )
        if len(found) >= N_ATTEMPTS_MIN and not is_excused:
            if n_refused >= REFUSED_SHARE_MAX * len(found):
                windows.append((start_s, n_refused, len(found)))
        start_s += WINDOW_STEP_S
    return windows


def check_refusals(journal):
    """Return findings for spans beside a disturbed store with a third refused."""
    findings = []
    mass_starts = list_mass_starts(journal)
    for work in journal.unplanned:
        if not work.kind.startswith("store"):
            continue
        windows = find_refused_windows(journal, work, mass_starts)
        if windows:
            first_s, last_s = windows[0][0], windows[-1][0] + WINDOW_S
            worst = max(windows, key=lambda window: window[1] / window[2])
            from_s, to_s = first_s - work.start_s, last_s - work.start_s
            findings.append(
                f"{work.start_s:.2f} {work.kind}, {work.end_s - work.start_s:.1f} s:"
                f" refused {worst[1]} of {worst[2]} in the worst second,"
                f" a third or more within {from_s:+.1f} to {to_s:+.1f} s"
            )
    return findings


def describe_beside(journal, late):
    """Return lines on the refusals by event, and on what the rules excuse."""
    lines = []
    for work in journal.unplanned:
        if work.kind in ("store-copy", "store-down"):
            n_refused, n = count_refused(journal, work)
            length_s = work.end_s - work.start_s
            lines.append(f"{work.kind}, {length_s:.1f} s: {n_refused} of {n} refused")
    if late:
        worst = max(late, key=lambda config: config.late_s)
        lines.append(
            f"{len(late)} VMs got a version late while out of touch, at most"
            f" {worst.late_s:.2f} s ({worst.vm}, version {worst.version})"
        )
    strays = Counter(
        stray.kind if stray.vm else f"{stray.kind}, sender not known"
        for stray in journal.strays
    )
    if strays:
        lines.append(f"requests at targets out of use, in all: {dict(strays)}")
    if journal.n_misdirected:
        lines.append(f"{journal.n_misdirected} requests got 421")
    return lines
