"""Performs the effects that a request's filter chain yields.

Runs in the greenlet that serves the request. Each performer takes the effect
and the request's context and returns the reply, if the effect has one.
"""

from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.messages import (
    CANCELLED,
    TIMED_OUT,
    Account,
    Acquire,
    Forward,
    RecordOutcome,
    Release,
    ReserveOrder,
    Send,
    SendFailure,
    SpendRetry,
    Withdraw,
)

from . import headers
from .context import CALLER_GONE
from .encoding import decode_room, encode_request, peer_reply, target_reply
from .tasks.connections import Exchange, ExchangeResult
from .tasks.task import Ask

# A permit older than this is checked against the fence again before it is used.
PERMIT_AGE_MAX_MS = 200.0
# The wait that a peer which can't be reached is taken to have.
UNREACHABLE_WAIT_MS = 1e9


def drive(handler, call, context, performers):
    """Run a filter chain to its outcome."""
    steps = handler(call)
    reply = None
    while True:
        try:
            effect = steps.send(reply)
        except StopIteration as stop:
            return stop.value
        reply = performers[type(effect)](effect, context)


def make_performers(node, control_task, orders, pools, metrics, clock, settings):
    """Return a dict of effect class to performer.

    Parameters
    ----------
    node : Node
        Read for peers' addresses only.
    control_task, orders : task objects
        Take the messages that change state.
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
        while True:
            reply = context.mailbox.get()
            if type(reply) is not ExchangeResult:
                return reply

    def acquire(effect, context):
        control_task.task.post(Ask(effect, context.mailbox))
        reply = next_reply(context)
        if reply is not CALLER_GONE:
            return reply
        context.is_caller_gone = True
        control_task.task.post(Withdraw(effect.service_name, effect.request_id))
        return next_reply(context)

    def exchange(address, wire, effect, context, not_after_ms):
        if context.is_caller_gone:
            return SendFailure(CANCELLED, False, address)
        order = Exchange(
            context.request.method,
            wire,
            not_after_ms,
            not effect.is_idempotent,
            settings.answer_max_bytes,
            context.mailbox,
        )
        pools.post(address, order)
        reply = order.receive_result(effect.deadline_at_ms - clock.now_ms())
        if reply is None:
            order.cancel(has_timed_out=True)
            return SendFailure(TIMED_OUT, order.is_sent, address)
        if reply is CALLER_GONE:
            context.is_caller_gone = True
            order.cancel()
            return SendFailure(CANCELLED, order.is_sent, address)
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
        wire = encode_request(context.request.method, context.path, items, context.body)
        not_after_ms = min(
            effect.deadline_at_ms, permit.granted_at_ms + PERMIT_AGE_MAX_MS
        )
        reply = exchange(permit.address, wire, effect, context, not_after_ms)
        return reply if type(reply) is SendFailure else target_reply(reply)

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
        wire = encode_request(context.request.method, path, items, context.body)
        reply = exchange(
            peer.front_address, wire, effect, context, effect.deadline_at_ms
        )
        if type(reply) is SendFailure:
            note_unreachable(reply, name, effect.peer_id)
            return reply
        note_room(reply, name, effect.peer_id)
        return peer_reply(reply, effect.peer_id)

    def note_unreachable(failure, name, peer_id):
        # A caller that went away says nothing of the peer.
        if failure.kind == CANCELLED:
            return
        # Until the peer is heard again no request is handed to it.
        control_task.task.post(CapacityReport(name, peer_id, 0, 0, UNREACHABLE_WAIT_MS))

    def note_room(response, name, peer_id):
        text = response.get(headers.ROOM)
        news = decode_room(text, name, peer_id) if text else None
        if news is not None:
            control_task.task.post(news)

    def answer_of(ask_task, effect, context):
        ask_task.post(Ask(effect, context.mailbox))
        reply = next_reply(context)
        if reply is CALLER_GONE:
            context.is_caller_gone = True
            reply = next_reply(context)
        return reply

    def ask_retry(effect, context):
        return answer_of(control_task.task, effect, context)

    def post_release(effect, context):
        control_task.task.post(effect)

    def reserve_order(effect, context):
        return answer_of(orders.task, effect, context)

    def settle_order(effect, context):
        orders.task.post(effect)

    def account(effect, context):
        metrics.count_call(effect.call, effect.outcome, clock.now_ms())

    return {
        Acquire: acquire,
        Send: send,
        Forward: forward,
        Release: post_release,
        SpendRetry: ask_retry,
        ReserveOrder: reserve_order,
        RecordOutcome: settle_order,
        Account: account,
    }
