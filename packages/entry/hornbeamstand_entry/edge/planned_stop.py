"""The planned stop of an edge process."""

import gevent
from hornbeamstand_core.edge_node_messages import StopEdge

from .servers import close_idle_connections, has_requests, stop_accepting
from .suspensions import WAKE_MS

# Maximum time for which a planned stop still accepts connections. Callers may use the
# address from an earlier lookup for that long. A longer time would leave the accepted
# requests too little of the grace period.
STOP_LISTEN_MAX_MS = 2900.0
# Interval at which a planned stop checks whether the requests have ended.
STOP_POLL_INTERVAL_MS = 50.0
# Part of the grace period that is reserved for the exit of the process: after the grace
# period, the platform kills it.
STOP_MARGIN_MS = 600.0
# Maximum time in which the requests that are still in progress then are answered.
LAST_ANSWERS_MS = 150.0
LAST_ANSWERS_POLL_MS = 10.0
MS_PER_S = 1000.0


def stop(process, signals):
    """Perform the planned stop; further signals change nothing.

    The VM first leaves the lookup responses, but still accepts connections. Then the
    listener closes, and the function waits for the requests in progress, at the latest
    until ``STOP_MARGIN_MS`` before the end of the grace period. Requests that may take
    longer are refused from the beginning, and those that are cut by the end are told so
    before the process exits.

    If the process was suspended until now, the stop may have been requested at any time
    in the suspension: new requests are taken as if it was at the beginning.
    """
    process.log.info("process: planned stop")
    began_at_ms = process.clock.now_ms()
    age_ms = process.suspensions.max_signal_age_ms()
    grace_ms = process.settings.grace_ms
    end_at_ms = began_at_ms + grace_ms - STOP_MARGIN_MS
    process.stop_limit.begin(end_at_ms - age_ms, began_at_ms)
    process.front.is_stopping = True
    process.control_task.post(StopEdge())
    listen_ms = min(STOP_LISTEN_MAX_MS, grace_ms / 2) - age_ms
    gevent.sleep(max(0.0, listen_ms) / MS_PER_S)
    finish_requests(
        process.caller_servers,
        process.peer_server,
        process.clock,
        end_at_ms,
        process.suspensions,
    )
    end_requests(process)


def end_requests(process):
    """Answer the requests that are still in progress, within ``LAST_ANSWERS_MS``."""
    servers = [*process.caller_servers, process.peer_server]
    process.front.end_calls()
    until_ms = process.clock.now_ms() + LAST_ANSWERS_MS
    while has_requests(servers) and process.clock.now_ms() < until_ms:
        gevent.sleep(LAST_ANSWERS_POLL_MS / MS_PER_S)


def finish_requests(caller_servers, peer_server, clock, end_at_ms, suspensions):
    """Close the listeners; return once no request is in progress, or at the end.

    If the end was reached in a suspension, the answers that came in it are still passed
    on, for a time that a further suspension does not lengthen.
    """
    has_woken = False
    while True:
        if clock.now_ms() >= end_at_ms:
            if has_woken or not suspensions.is_just_over():
                return
            has_woken = True
            end_at_ms = clock.now_ms() + WAKE_MS
        has_closed = stop_accepting(caller_servers)
        # The tasks of connections read meanwhile what has arrived.
        gevent.sleep(STOP_POLL_INTERVAL_MS / MS_PER_S)
        close_idle_connections(caller_servers)
        # An answer is part of its request until the peer or caller has got it.
        if has_closed and not has_requests([*caller_servers, peer_server]):
            return
