"""Sends single requests over pooled connections and waits for their answers."""

import gevent
from gevent.queue import SimpleQueue

from ..tasks.exchange import Exchange


def call(
    pools,
    clock,
    address,
    method,
    request_bytes,
    timeout_ms,
    answer_max_bytes,
    needs_recent_response=False,
):
    """Send a request to an address; returns a CompleteResponse, SendFailure or None.

    None means that no answer came within ``timeout_ms``. In that case, and if the
    greenlet is killed while it waits, the exchange is cancelled. With
    ``needs_recent_response`` the request is sent on a connection that has answered a
    moment ago, or on a new one.
    """
    until_ms = clock.now_ms() + timeout_ms
    exchange = Exchange(
        method,
        request_bytes,
        until_ms,
        needs_recent_response,
        answer_max_bytes,
        SimpleQueue(),
    )
    pools.post(address, exchange)
    try:
        answer = exchange.receive_result(timeout_ms)
    except gevent.GreenletExit:
        exchange.cancel()
        raise
    if answer is None:
        exchange.cancel(has_timed_out=True)
    return answer
