"""Lets targets of a service answer without end for a while."""

import math
from random import Random

import gevent

from standins.endless import FORMS, send_without_end

from .memory import check_memory
from .records import now_s
from .site import SERVICES

STATUSES = (200, 500)
# Least and greatest share of the targets of a service that answer without end.
SHARE_MIN = 0.15
SHARE_MAX = 0.7
# Times between two pieces of an answer. With a pause the timeout of the route ends it,
# without one its size may.
PAUSES_S = (0.0, 0.002, 0.01)
# Share of the events in which the answers of the health path don't end either.
HEALTH_SHARE = 0.25


def play_endless(cell, journal, seed, event):
    """Let some targets of one service answer without end, and check the memory.

    Service, targets, form and status follow from the seed and the event.
    """
    rng = Random(f"{seed}-{event.kind}-{event.at_s}")
    service = rng.choice(sorted(SERVICES))
    form = rng.choice(sorted(FORMS))
    status = rng.choice(STATUSES)
    targets = [x for x in cell.live_targets() if x.service == service]
    n_targets = math.ceil(rng.uniform(SHARE_MIN, SHARE_MAX) * len(targets))
    has_endless_health = rng.random() < HEALTH_SHARE
    pause_s = rng.choice(PAUSES_S)
    where = "all paths" if has_endless_health else "requests"
    kind = (
        f"endless {service} {status} {form}, {n_targets} targets, {where},"
        f" a piece each {pause_s:g} s"
    )
    work = journal.add_unplanned(kind)
    chosen = rng.sample(targets, n_targets)
    for target in chosen:
        target.send_endless = make_sender(FORMS[form].with_status(status), pause_s)
        target.has_endless_health = has_endless_health
    gevent.sleep(event.duration_s)
    for target in chosen:
        target.send_endless = None
    work.end_s = now_s()
    journal.findings += check_memory(cell, kind)


def make_sender(form, pause_s):
    """Return a function that answers on a socket, by an attempt id, without end."""

    def send(sock, attempt_id):
        send_without_end(sock, form, attempt_id, pause_s)

    return send
