"""Lets crowds of clients hold memory of some VMs for a while, beside the callers."""

from contextlib import ExitStack
from random import Random

import gevent

from standins.crowds import (
    Crowd,
    ask_for,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
)

from .callers import CALLER_ORGANISATIONS
from .memory import check_memory
from .records import now_s
from .site import KINDS, key_headers

QUERY, ORDER = KINDS[0], KINDS[1]
ORGANISATION = CALLER_ORGANISATIONS[0]
KEY_LINES = [f"{name}: {value}" for name, value in key_headers(ORGANISATION).items()]
# Sizes of a long answer, a body, a chunk and a head; a body and a head are within the
# limits of the configuration.
ANSWER_BYTES = 4_000_000
BODY_BYTES = 1_000_000
CHUNK_BYTES = 16_384
HEAD_BYTES = 15_000
N_VMS_MAX = 3


def read_slowly(crowd, n_clients, name):
    """Let clients ask for long answers and read only their first byte."""
    for i in range(n_clients):
        request = ask_for(
            QUERY.prefix, ANSWER_BYTES, *KEY_LINES, attempt_id=f"{name}-{i}"
        )
        gevent.spawn(crowd.ask, request, 1)


def stop_in_bodies(crowd, n_clients, name):
    """Let clients send bodies that lack their last byte."""
    crowd.send(unfinished_body(ORDER.prefix, BODY_BYTES, *KEY_LINES), n_clients)


def stop_in_chunks(crowd, n_clients, name):
    """Let clients send chunked bodies that lack their end."""
    data = unfinished_chunks(ORDER.prefix, BODY_BYTES, CHUNK_BYTES, *KEY_LINES)
    crowd.send(data, n_clients)


def stop_in_heads(crowd, n_clients, name):
    """Let clients send heads without an end."""
    crowd.send(unfinished_head(ORDER.prefix, HEAD_BYTES), n_clients)


# Kinds of crowds, each with its least and greatest number of clients at a VM.
CROWDS = {
    read_slowly: (15, 60),
    stop_in_bodies: (40, 200),
    stop_in_chunks: (40, 200),
    stop_in_heads: (100, 700),
}


def play_crowd(cell, journal, seed, event):
    """Let a crowd hold memory of some VMs, and check the memory of all.

    The kind of the crowd, its size and the VMs follow from the seed and the event.
    """
    rng = Random(f"{seed}-{event.kind}-{event.at_s}")
    send = rng.choice(list(CROWDS))
    n_clients = rng.randint(*CROWDS[send])
    vms = rng.sample(cell.vms, min(rng.randint(1, N_VMS_MAX), len(cell.vms)))
    names = " ".join(vm.name for vm in vms)
    work = journal.add_unplanned(f"crowd {send.__name__} of {n_clients} at {names}")
    with ExitStack() as stack:
        for vm in vms:
            crowd = Crowd((vm.ip, vm.ports["front"]), stack)
            name = f"crowd-{event.at_s:.2f}-{vm.name}"
            stack.callback(gevent.spawn(send, crowd, n_clients, name).kill)
        gevent.sleep(event.duration_s)
    work.end_s = now_s()
    journal.findings += check_memory(cell, work.kind)
