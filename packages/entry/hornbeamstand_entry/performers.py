"""Performs the effects that the filter chain of a request yields.

It runs in the greenlet that serves the request. Each performer takes an effect and the
context of the request, and returns the reply if the effect has one.
"""

from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.event_messages import AnswerMarginGrown
from hornbeamstand_core.filters.margins import keep_margin
from hornbeamstand_core.messages import (
    BROKEN_RESPONSE,
    CANCELLED,
    TIMED_OUT,
    Account,
    Acquire,
    Forward,
    Release,
    ReportError,
    Send,
    SendFailure,
    SpendRetry,
    Withdraw,
)
from hornbeamstand_core.order_messages import RecordOutcome, ReserveOrder

from . import headers
from .context import CALLER_GONE
from .encoding import decode_capacity, peer_response, split_request, target_response
from .tasks.exchange import Exchange, ExchangeResult
from .tasks.failures import report_failure
from .tasks.task import Ask

# Maximum age of a permit at which its request may still be sent. After a longer delay
# this VM may have passed its fence, the time until which it may dispatch. The send then
# fails, and a retry has to acquire a new permit.
PERMIT_MAX_AGE_MS = 200.0
# Expected wait that is recorded for a peer that can't be reached: so long that every
# other peer is preferred to it.
UNREACHABLE_WAIT_MS = 1e9


def drive(handler, call, context, performers):
    """Run a filter chain for a call and return the outcome.

    An exception of a performer is raised in the filter that yielded its effect.
    """
    steps = handler(call)
    advance, value, effect = steps.send, None, None
    try:
        while True:
            effect = advance(value)
            try:
                advance, value = steps.send, performers[type(effect)](effect, context)
            except Exception as error:
                advance, value = steps.throw, error
    except StopIteration as stop:
        return stop.value
    finally:
        # An error that refers to this frame would keep itself, and the context.
        del value, effect


def make_performers(node, control_task, orders_task, pools, metrics, clock, settings):
    """Return a dict that maps each effect class to its performer.

    Parameters
    ----------
    node : Node
        Read only for the addresses of peers.
    control_task, orders_task : task objects
        Receive the messages that change state.
    pools : Pools
        Connections to targets and peers.
    metrics : Metrics
        Counts finished calls.
    clock : Clock
        The process's clock.
    settings : Settings
        The VM's settings.
    """

    def next_reply(context):
        """Return the next message; drop late results of cancelled exchanges."""
        while True:
            reply = context.mailbox.get()
            if type(reply) is AnswerMarginGrown:
                keep_margin(context.call, reply.margin_ms)
            elif type(reply) is not ExchangeResult:
                return reply

    def receive_result(exchange, effect, context):
        """Return the result of an exchange, CALLER_GONE, or None at its deadline."""
        until_ms = effect.deadline_at_ms
        while True:
            reply = exchange.receive_result(until_ms - clock.now_ms())
            if type(reply) is not AnswerMarginGrown:
                return reply
            keep_margin(context.call, reply.margin_ms)
            until_ms = min(until_ms, context.call.deadline_at_ms)

    def acquire(effect, context):
        control_task.task.post(Ask(effect, context.mailbox))
        reply = next_reply(context)
        if reply is not CALLER_GONE:
            return reply
        context.is_caller_gone = True
        control_task.task.post(Withdraw(effect.service_name, effect.request_id))
        return next_reply(context)

    def run_exchange(
        address, request_parts, effect, context, not_after_ms, expected_id=None
    ):
        if context.is_caller_gone:
            return SendFailure(CANCELLED, False, address)
        request_bytes, body = request_parts
        exchange = Exchange(
            context.request.method,
            request_bytes,
            not_after_ms,
            not effect.is_idempotent,
            settings.answer_max_bytes,
            context.mailbox,
            expected_id,
            body,
            keeps_answer_hold=True,
        )
        context.exchanges.append(exchange)
        pools.post(address, exchange)
        reply = receive_result(exchange, effect, context)
        if reply is None:
            exchange.cancel(has_timed_out=True)
            return SendFailure(TIMED_OUT, exchange.is_sent, address)
        if reply is CALLER_GONE:
            context.is_caller_gone = True
            exchange.cancel()
            return SendFailure(CANCELLED, exchange.is_sent, address)
        return reply

    def common_headers(effect, context, address):
        left_ms = max(0, int(effect.deadline_at_ms - clock.now_ms()))
        items = [("Host", address), *context.header_items]
        items.append((headers.DEADLINE, str(left_ms)))
        items.append((headers.REQUEST_ID, context.request.request_id))
        key = context.request.idempotency_key
        if key is not None:
            items.append((headers.IDEMPOTENCY_KEY, key))
        return items

    def send(effect, context):
        permit = effect.permit
        items = common_headers(effect, context, permit.address)
        request_parts = split_request(
            context.request.method, context.path, items, context.body
        )
        not_after_ms = min(
            effect.deadline_at_ms, permit.granted_at_ms + PERMIT_MAX_AGE_MS
        )
        reply = run_exchange(
            permit.address,
            request_parts,
            effect,
            context,
            not_after_ms,
            context.request.request_id,
        )
        return reply if type(reply) is SendFailure else target_response(reply)

    def forward(effect, context):
        peer = node.membership.view.members.get(effect.peer_id)
        if peer is None:
            return SendFailure("peer left", False, effect.peer_id)
        items = common_headers(effect, context, peer.front_address)
        items.append((headers.HOPS, str(context.request.n_hops + 1)))
        if effect.is_recorded:
            items.append((headers.RECORDED, "1"))
        name = context.request.service_name
        path = f"/services/{name}{context.path}"
        request_parts = split_request(context.request.method, path, items, context.body)
        reply = run_exchange(
            peer.front_address, request_parts, effect, context, effect.deadline_at_ms
        )
        if type(reply) is SendFailure:
            note_unreachable(reply, name, effect.peer_id)
            return reply
        note_capacity(reply, name, effect.peer_id)
        response = peer_response(reply, effect.peer_id)
        return response or SendFailure(BROKEN_RESPONSE, True, effect.peer_id)

    def note_unreachable(failure, name, peer_id):
        # A send that was cancelled because the caller disconnected says nothing about
        # the peer.
        if failure.kind == CANCELLED:
            return
        # This report holds until the peer can be reached and sends its own.
        control_task.task.post(CapacityReport(name, peer_id, 0, 0, UNREACHABLE_WAIT_MS))

    def note_capacity(response, name, peer_id):
        text = response.get(headers.ROOM)
        report = decode_capacity(text, name, peer_id) if text else None
        if report is not None:
            control_task.task.post(report)

    def ask_and_wait(asked_task, effect, context):
        asked_task.post(Ask(effect, context.mailbox))
        reply = next_reply(context)
        if reply is CALLER_GONE:
            context.is_caller_gone = True
            reply = next_reply(context)
        return reply

    def spend_retry(effect, context):
        return ask_and_wait(control_task.task, effect, context)

    def release(effect, context):
        control_task.task.post(effect)

    def reserve_order(effect, context):
        return ask_and_wait(orders_task.task, effect, context)

    def record_outcome(effect, context):
        orders_task.task.post(effect)

    def account(effect, context):
        metrics.count_call(effect.call, effect.outcome, clock.now_ms())

    def report_error(effect, context):
        report_failure("front", effect.error)

    return {
        Acquire: acquire,
        Send: send,
        Forward: forward,
        Release: release,
        SpendRetry: spend_retry,
        ReserveOrder: reserve_order,
        RecordOutcome: record_outcome,
        Account: account,
        ReportError: report_error,
    }
