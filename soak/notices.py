"""What servers say of themselves in their answers, and an entry that names no server.

The clock of the run is the one with which servers record arrivals.
"""

from contextlib import ExitStack

import gevent
from gevent.pywsgi import WSGIServer

from standins.server import respond

from .records import Span

# Time for which the entry of a leaving server stays ready, and time from its removal
# until a newer start is registered.
ENTRY_READY_S = 4.0
REMOVED_S = 2.0
# Maximum wait for a request that runs, and the interval of looking for it.
REQUEST_WAIT_S = 1.0
POLL_S = 0.005
# Pause for which a rejecting server asks.
PAUSE_S = 2.5
# Length of a cold start that a server states in its health answers.
COLD_S = 3.0
# Interval at which the rest of the cold start is updated.
COLD_UPDATE_S = 0.05
MS_PER_S = 1000.0
# Time for which a foreign entry stays.
FOREIGN_S = 5.0
FOREIGN_BODY = b"foreign"


def now_s():
    """Return the time on the clock of the run."""
    return gevent.get_hub().loop.now()


def leave(cell, journal, server, duration_s):
    """Let a server say that it leaves, remove its entry and register a newer start.

    It begins while it runs a request, whose answer is the first to say so.
    """
    wait_for_request(server)
    server.is_leaving = True
    span = Span(server.server_id, now_s())
    journal.leaving.append(span)
    gevent.sleep(ENTRY_READY_S)
    cell.store.delete(f"servers/{server.server_id}")
    gevent.sleep(REMOVED_S)
    span.end_s = now_s()
    server.is_leaving = False
    server.started_wall_ms += 1
    cell.write_entry(server)


def wait_for_request(server):
    """Wait until a server runs a request, for ``REQUEST_WAIT_S`` at most."""
    end_s = now_s() + REQUEST_WAIT_S
    while not server.n_running and now_s() < end_s:
        gevent.sleep(POLL_S)


def pause(cell, journal, server, duration_s):
    """Let a server reject requests for a time and ask for a pause each time.

    Returns when the last pause is over.
    """
    server.pause_s = PAUSE_S
    server.mode = "shed"
    gevent.sleep(duration_s)
    server.mode = "ok"
    server.pause_s = 0.0
    gevent.sleep(PAUSE_S)


def become_cold(cell, journal, server, duration_s):
    """Let a server become cold and say so in its health answers only."""
    span = Span(server.server_id, now_s(), now_s() + COLD_S)
    journal.cold_notices.append(span)
    while now_s() < span.end_s:
        server.cold_ms = (span.end_s - now_s()) * MS_PER_S
        gevent.sleep(COLD_UPDATE_S)
    server.cold_ms = 0.0


def write_foreign_entry(cell):
    """Write an entry of another program, whose address answers 404, for a time."""
    with ExitStack() as stack:
        server = WSGIServer(("127.0.0.1", 0), serve_not_found, log=None, error_log=None)
        server.start()
        stack.callback(server.stop, timeout=0)
        # The stack removes the entry before the server stops.
        key = f"servers/foreign-{server.server_port}"
        cell.store.put(key, foreign_entry(server.server_port))
        stack.callback(cell.store.delete, key)
        gevent.sleep(FOREIGN_S)


def foreign_entry(port):
    """Return an entry without the fields that every server writes."""
    return {
        "Address": f"127.0.0.1:{port}",
        "Info": {"Backend": "desk", "Zone": "ub-a", "Concurrency": 3},
        "Status": {"State": "ready"},
    }


def serve_not_found(environ, start_response):
    """Answer 404 without a seal (a WSGI application)."""
    return respond(start_response, 404, FOREIGN_BODY, [])
