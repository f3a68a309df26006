"""The task of one connection, which owns its socket.

It sends one request at a time, reads the complete response, passes the result to the
requester and reports to its pool. A connection whose exchange was cancelled is closed
and never used again.
"""

import gevent
from hornbeamstand_core.messages import (
    BROKEN_RESPONSE,
    CONNECT_FAILED,
    NO_DESCRIPTOR,
    NO_MEMORY,
    TIMED_OUT,
    SendFailure,
)
from hornbeamstand_core.records import Record

from ..header_numbers import read_count
from .failures import report_failure
from .greenlets import spawn
from .response_messages import ResponseError, ResponseMemoryError
from .response_parser import ERROR_STATUS_MIN, ResponseParser, read_response
from .sockets import NO_DESCRIPTOR_ERRORS, open_socket, parse_address
from .streams import Stream
from .task import Task

# Maximum number of error responses on a connection. A connection with more is closed,
# so that the ids of their requests take little memory.
N_FAILED_IDS_MAX = 32
MS_PER_S = 1000.0


class Connection:
    """The task of one connection, its current exchange and its last response's time.

    ``idle_max_ms`` is the rules' value, or less if the other side closes idle
    connections earlier. ``failed_ids`` are the ids of the requests that got an error
    response on this connection.
    """

    __slots__ = (
        "task",
        "stream",
        "parser",
        "rules",
        "exchange",
        "opened_at_ms",
        "last_response_at_ms",
        "idle_max_ms",
        "failed_ids",
    )

    def __init__(self, name, rules):
        self.task = Task(name)
        # The Stream of the socket, or None until the connection is open.
        self.stream = None
        self.parser = ResponseParser()
        self.rules = rules
        self.idle_max_ms = rules.idle_max_ms
        self.exchange = None
        self.opened_at_ms = 0.0
        self.last_response_at_ms = float("-inf")
        self.failed_ids = set()


class ConnectionIdle(Record):
    """A connection has completed an exchange and can carry another one."""

    __slots__ = ("connection",)

    def __init__(self, connection):
        self.connection = connection


class ConnectionClosed(Record):
    """A connection was closed.

    ``has_timed_out`` is set if it was a reused connection that did not respond in time.
    """

    __slots__ = ("connection", "has_timed_out")

    def __init__(self, connection, has_timed_out):
        self.connection = connection
        self.has_timed_out = has_timed_out


def start_connection(connection, address, pool_task, clock):
    """Start the task of a connection, which ends when an exchange does not keep it."""
    closed = ConnectionClosed(connection, False)
    greenlet = spawn(run_connection, connection, address, pool_task, clock, closed)
    # A greenlet that is killed before it runs has no other way to report its end.
    greenlet.rawlink(lambda _: end_connection(connection, address, pool_task, closed))
    connection.task.greenlet = greenlet


def run_connection(connection, address, pool_task, clock, closed):
    """Perform exchanges over one socket until one of them ends the connection."""
    is_kept = True
    while is_kept:
        exchange = connection.task.mailbox.get()
        try:
            is_kept = perform_exchange(
                connection, exchange, address, pool_task, clock, closed
            )
        except Exception as error:
            is_kept = False
            # The frames of its traceback hold what was read last.
            fail_exchange(exchange, address, error.with_traceback(None))
        connection.exchange = None
        if exchange.is_cancelled:
            # The response came before the greenlet could be killed.
            return
        if is_kept:
            connection.last_response_at_ms = clock.now_ms()
            pool_task.post(ConnectionIdle(connection))
        # An idle connection would keep the request, and the mailbox of its requester.
        del exchange


def end_connection(connection, address, pool_task, closed):
    """Close a connection whose greenlet ended; settle the exchange that it still had.

    An exchange may be assigned to a connection that an earlier one has just cancelled.
    """
    if connection.stream is not None:
        connection.stream.close()
    connection.rules.open_connections.note_closed(connection)
    exchange = connection.exchange
    if exchange is not None and not exchange.is_cancelled:
        if exchange.is_sent:
            reply(exchange, SendFailure(BROKEN_RESPONSE, True, address))
        elif isinstance(connection.task.greenlet.exception, MemoryError):
            # Another connection could call nothing either.
            reply(exchange, SendFailure(NO_MEMORY, False, address))
        else:
            pool_task.post(exchange)
    # The exchange refers to its connection. Without this, what was read of a response
    # would stay in memory until the next garbage collection.
    connection.exchange = None
    connection.parser = None
    pool_task.post(closed)


def perform_exchange(connection, exchange, address, pool_task, clock, closed):
    """Perform one exchange; returns whether the connection can carry another one.

    An exchange whose connection turns out to be unusable is passed back to the pool.
    ``closed`` is the message that the task posts if the connection ends here; a
    timeout is noted in it.
    """
    is_reused = connection.stream is not None
    if is_reused and is_unusable(connection.stream):
        pool_task.post(exchange)
        return False
    if not is_reused:
        failure_kind = connect(connection, address, exchange.not_after_ms, clock)
        if failure_kind is not None:
            reply(exchange, SendFailure(failure_kind, False, address))
            return False
    if clock.now_ms() >= exchange.not_after_ms or exchange.is_cancelled:
        reply(exchange, SendFailure(TIMED_OUT, False, address))
        return False
    try:
        exchange.is_sent = True
        response = send_and_read(connection, exchange)
    except gevent.GreenletExit:
        closed.has_timed_out = is_reused and exchange.has_timed_out
        note_unfinished(connection, exchange, address, "cancelled")
        raise
    except (OSError, ResponseError) as error:
        note_unfinished(connection, exchange, address, repr(error))
        connection.rules.reads.note_stream_error(connection, exchange, address, False)
        is_own_lack = isinstance(error, ResponseMemoryError)
        kind = NO_MEMORY if is_own_lack else BROKEN_RESPONSE
        reply(exchange, SendFailure(kind, True, f"{address} {error!r}"))
        return False
    connection.rules.reads.note_stream_error(connection, exchange, address, True)
    note_keep_alive(connection, response)
    note_error(connection, exchange, response)
    reply(exchange, response)
    return not (response.should_close() or exchange.has_ended_sending)


def note_unfinished(connection, exchange, address, reason):
    """Report the response to an exchange, which was given up."""
    reads = connection.rules.reads
    reads.note_unfinished(connection.parser, exchange, address, reason)


def fail_exchange(exchange, address, error):
    """Fail the exchange that an unexpected error interrupted, and report the error."""
    kind = BROKEN_RESPONSE if exchange.is_sent else CONNECT_FAILED
    if isinstance(error, MemoryError):
        # It says nothing about the target.
        kind = NO_MEMORY
    reply(exchange, SendFailure(kind, exchange.is_sent, f"{address} {error!r}"))
    report_failure(f"connection {address}", error)


def send_and_read(connection, exchange):
    """Send a request and return its response, which may come before all is sent.

    The connection then can't carry another exchange: the server would read the rest of
    the request as the next one.
    """
    stream, data = connection.stream, exchange.request_bytes
    n_sent = stream.send(data)
    if n_sent == len(data) and not exchange.body:
        exchange.note_whole_sent()
        return read_response(stream, connection.parser, exchange, connection.rules)
    parts = [memoryview(data)[n_sent:], exchange.body]
    sender = spawn(send_rest, stream, parts, exchange)
    try:
        response = read_response(stream, connection.parser, exchange, connection.rules)
        if not (sender.ready() and sender.value):
            response.closes_connection = True
        return response
    finally:
        sender.kill(block=False)


def send_rest(stream, parts, exchange):
    """Send the parts of a request; returns whether the connection took them."""
    try:
        for part in parts:
            stream.sendall(part)
        exchange.note_whole_sent()
    except OSError:
        # The stream keeps the error for its reader, behind what came before.
        return False
    except Exception as error:
        report_failure("connection", error)
        # The server waits for the rest, and the reader for the server.
        stream.fail(error)
        return False
    return True


def note_error(connection, exchange, response):
    """Remember the id of a request that got an error response."""
    if connection.rules.id_header is None or exchange.expected_id is None:
        return
    if response.status_code < ERROR_STATUS_MIN:
        return
    connection.failed_ids.add(exchange.expected_id)
    if len(connection.failed_ids) > N_FAILED_IDS_MAX:
        response.closes_connection = True


def note_keep_alive(connection, response):
    """Limit the idle time to one second less than the response's Keep-Alive states.

    The connection is then not reused while the other side is closing it.
    """
    stated = response.get("Keep-Alive", "")
    for part in stated.split(","):
        name, _, value = part.strip().partition("=")
        timeout_s = read_count(value) if name.lower() == "timeout" else None
        if timeout_s is not None:
            idle_ms = max(0.0, (timeout_s - 1) * MS_PER_S)
            connection.idle_max_ms = min(connection.rules.idle_max_ms, idle_ms)


def reply(exchange, result):
    """Pass the result of an exchange to its requester, who may no longer want it."""
    if not exchange.is_cancelled:
        exchange.report(result)


def is_unusable(stream):
    """Return whether an idle connection is closed or has received stray bytes."""
    try:
        # Nothing is to be read from an idle connection, so any bytes are a stray
        # response.
        stream.peek()
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def connect(connection, address, not_after_ms, clock):
    """Open the connection; returns the kind of its failure, or None if it was opened.

    From ``not_after_ms`` on, the request that needs it is no longer sent. What is no
    IPv4 address and port fails like an address that nobody listens at.
    """
    try:
        left_ms = not_after_ms - clock.now_ms()
        sock = open_socket(parse_address(address), connection.rules, left_ms)
    except (OSError, OverflowError, ValueError) as error:
        has_no_descriptor = getattr(error, "errno", None) in NO_DESCRIPTOR_ERRORS
        return NO_DESCRIPTOR if has_no_descriptor else CONNECT_FAILED
    connection.stream = Stream(sock)
    connection.opened_at_ms = clock.now_ms()
    return None
