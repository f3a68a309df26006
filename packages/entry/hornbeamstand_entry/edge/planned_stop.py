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
# Maximum time for the last lookups and operators' requests, if the stop has it left.
LAST_LOOKUPS_MS = 1000.0
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
    end_requests(process, end_at_ms)


def end_requests(process, end_at_ms):
    """Answer the requests that are still in progress, within ``LAST_ANSWERS_MS``.

    Lookups and operators' requests, which are served until then, are ended in order
    too, within ``LAST_LOOKUPS_MS`` if that is before the end of the stop.
    """
    servers = [*process.caller_servers, process.peer_server]
    process.front.end_calls()
    process.ends_operators_connections = True
    now_ms = process.clock.now_ms()
    until_ms = max(now_ms + LAST_ANSWERS_MS, min(end_at_ms, now_ms + LAST_LOOKUPS_MS))
    while process.clock.now_ms() < until_ms:
        is_closed = close_servers(process.operator_servers, LAST_ANSWERS_POLL_MS)
        if is_closed and not has_requests(servers):
            return


def close_servers(servers, wait_ms):
    """Close the listeners and idle connections; return whether no other is open.

    The tasks of connections read within ``wait_ms`` what has arrived. Nothing can
    arrive at the servers once none is open.
    """
    has_closed = stop_accepting(servers)
    gevent.sleep(wait_ms / MS_PER_S)
    close_idle_connections(servers)
    # Returns after the event loop has closed them.
    gevent.sleep(0)
    return has_closed and not any(server.n_connections for server in servers)


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
        is_closed = close_servers(caller_servers, STOP_POLL_INTERVAL_MS)
        # An answer is part of its request until the peer or caller has got it.
        if is_closed and not has_requests([peer_server]):
            return
