"""Performs the effects that a routed request's filter chain yields.

Runs in the greenlet that serves the request. Each performer takes an effect and the
request's context and returns the reply, if the effect has one.
"""

from hornbeamstand_core.balancer_messages import SendProbe
from hornbeamstand_core.edge_messages import (
    Abort,
    AcquireSlot,
    CheckStop,
    FindRoute,
    NoticeRelayed,
    StartSend,
)
from hornbeamstand_core.event_messages import (
    AnswerMarginGrown,
    AwaitEvent,
    CallerDisconnected,
    ExchangeEnded,
    StopReached,
    WaitTimedOut,
)
from hornbeamstand_core.key_messages import CheckKey
from hornbeamstand_core.load_probe_messages import ProbeLoads
from hornbeamstand_core.messages import (
    BROKEN_RESPONSE,
    Account,
    Release,
    ReportError,
    SendFailure,
    Withdraw,
)
from hornbeamstand_core.quota_messages import EndQuotaWait, ReturnQuota, SpendQuota
from hornbeamstand_core.relay_messages import (
    AnnounceSends,
    CheckPeerAlive,
    EndSending,
    FindOwner,
    Relay,
    RelayEnded,
    SendsAnnounced,
)

from ..context import CALLER_GONE
from ..encoding import split_request
from ..header_numbers import read_count
from ..tasks.exchange import Exchange, ExchangeResult, receive_unread
from ..tasks.failures import report_failure
from ..tasks.response_messages import InterimResponse
from ..tasks.task import receive
from .context import INTERRUPTS, STOP_ENDS
from .load_probes import (
    read_load_probe,
    start_load_probe,
    unanswered_result,
    was_sent,
)
from .messages import (
    SENDS_HEADER,
    TARGET_START_HEADER,
    peer_items,
    peer_response,
    target_items,
    target_response,
)

# Messages to a request that are handled once it awaits its events.
LATER_EVENTS = (ExchangeResult, AnswerMarginGrown)
# Maximum size of an answer of a target or peer.
ANSWER_MAX_BYTES = 64 << 20
# Maximum time that a request waits for the answers to its load probes.
LOAD_PROBE_WAIT_MS = 15.0
# Maximum time by which this VM may notice the end of that wait too late, so that a
# probe without an answer says something about its target.
OWN_DELAY_MAX_MS = 3.0


def make_performers(
    control_task,
    target_pools,
    peer_pools,
    dialect,
    metrics,
    log,
    clock,
    settings,
    stop_limit,
    is_policy_outdated=lambda policy: False,
):
    """Return a dict that maps each effect class to its performer.

    Parameters
    ----------
    control_task : EdgeControlTask
        The task that owns the controllers.
    target_pools, peer_pools : Pools
        Connections to targets and to other entry VMs.
    dialect : Dialect
        The platform's headers and codecs.
    metrics, log, clock, settings
        The process's metrics, log, clock and settings.
    stop_limit : StopLimit
        The end of a planned stop, and the durations of calls.
    is_policy_outdated : callable, optional
        Returns whether the key of a relayed request has to be checked again here.
    """

    def next_reply(context):
        while True:
            reply = context.mailbox.get()
            if reply in INTERRUPTS or type(reply) in LATER_EVENTS:
                # Kept for the next AwaitEvent.
                context.pending.append(reply)
                continue
            return reply

    def ask(effect, context):
        control_task.ask(effect, context.mailbox)
        return next_reply(context)

    def check_key(effect, context):
        if not is_policy_outdated(effect.policy):
            return effect.policy
        return ask(effect, context)

    def acquire(effect, context):
        control_task.ask(effect, context.mailbox)
        try:
            return await_slot(effect, context)
        except BaseException:
            # Nobody else knows of a slot that the reply grants.
            control_task.abandon(effect, context.mailbox)
            raise

    def await_slot(effect, context):
        if any(message in INTERRUPTS for message in context.pending):
            # A slot that is free is granted; the request doesn't wait for one.
            control_task.post(Withdraw(effect.service_name, effect.request_id))
        while True:
            reply = context.mailbox.get()
            if type(reply) in LATER_EVENTS:
                context.pending.append(reply)
                continue
            if reply not in INTERRUPTS:
                return reply
            context.pending.append(reply)
            # The controllers refuse a withdrawn request, unless their reply to it is
            # already on its way, so the loop continues until a reply arrives.
            control_task.post(Withdraw(effect.service_name, effect.request_id))

    def start_exchange(pools, address, key, items, effect, context, is_idempotent):
        request_bytes, body = split_request(
            context.method, context.path, items, context.body
        )
        exchange = Exchange(
            context.method,
            request_bytes,
            effect.deadline_at_ms,
            not is_idempotent,
            ANSWER_MAX_BYTES,
            context.mailbox,
            context.caller_request_id,
            body,
            keeps_answer_hold=True,
            reports_interim=type(key) is Relay,
        )
        context.exchanges.append(exchange)
        context.key_by_exchange[exchange] = key
        pools.post(address, exchange)

    def start_send(effect, context):
        permit = effect.permit
        left_ms = effect.deadline_at_ms - clock.now_ms()
        items = target_items(context, effect, left_ms, dialect.headers)
        start_exchange(
            target_pools,
            permit.address,
            permit,
            items,
            effect,
            context,
            effect.is_idempotent,
        )

    def relay(effect, context):
        now_ms = clock.now_ms()
        items = peer_items(context, effect, now_ms, dialect.headers)
        # The id of a peer is its IP address.
        address = f"{effect.peer_id}:{settings.peer_port}"
        start_exchange(
            peer_pools,
            address,
            effect,
            items,
            effect,
            context,
            effect.policy.is_idempotent,
        )

    def probe_loads(effect, context):
        until_ms = clock.now_ms() + LOAD_PROBE_WAIT_MS
        outstanding = set()
        for probe in effect.needed.probes:
            exchange = start_load_probe(probe, target_pools, until_ms, context.mailbox)
            context.key_by_exchange[exchange] = probe
            outstanding.add(exchange)
        while outstanding:
            message = receive(context.mailbox, until_ms - clock.now_ms())
            if message is None:
                give_up_waiting(outstanding, until_ms, context)
                return
            key = None
            if type(message) is ExchangeResult:
                key = context.key_by_exchange.get(message.exchange)
            if type(key) is not SendProbe:
                context.pending.append(message)
                continue
            outstanding.discard(message.exchange)
            if note_load_probe(message, context):
                return

    def note_load_probe(message, context):
        """Report a load probe's result; return whether its target is not slowed down.

        The result is True if the target reported a slowdown of at most 1.0, and False
        if it reported none.
        """
        key = context.key_by_exchange.pop(message.exchange)
        if not was_sent(message.result):
            return False
        probe_result = read_load_probe(key, message.result, dialect)
        control_task.post(probe_result)
        metrics.n_load_probes += 1
        report = probe_result.report
        return (
            report is not None
            and report.slowdown is not None
            and report.slowdown <= 1.0
        )

    def give_up_waiting(exchanges, until_ms, context):
        # The probes go on: an answer that comes later still tells the target's load. If
        # this VM itself was late, the answers may be there and not be read yet.
        if clock.now_ms() - until_ms > OWN_DELAY_MAX_MS:
            return
        for exchange in exchanges:
            control_task.post(unanswered_result(context.key_by_exchange[exchange]))

    def await_event(effect, context):
        while True:
            message = next_event(effect, context)
            now_ms = clock.now_ms()
            if message is None:
                return WaitTimedOut(now_ms)
            if message is CALLER_GONE:
                return CallerDisconnected(now_ms)
            if message is STOP_ENDS:
                return StopReached(now_ms)
            if type(message) in (ExchangeEnded, AnswerMarginGrown):
                return message
            if type(message) is ExchangeResult:
                key = context.key_by_exchange.get(message.exchange)
                if type(message.result) is InterimResponse:
                    n_sends = read_count(message.result.get(SENDS_HEADER) or "")
                    if key is not None and n_sends is not None:
                        return SendsAnnounced(key, n_sends, now_ms)
                elif type(key) is SendProbe:
                    note_load_probe(message, context)
                elif key is not None:
                    del context.key_by_exchange[message.exchange]
                    return ExchangeEnded(
                        key, read_result(key, message.result, context), now_ms
                    )

    def next_event(effect, context):
        if context.pending:
            return context.pending.popleft()
        message = receive(context.mailbox, effect.until_ms - clock.now_ms())
        if message is None:
            message = receive_unread(context.mailbox, context.key_by_exchange)
        return message

    def read_result(key, result, context):
        if type(result) is SendFailure:
            return result
        if type(key) is Relay:
            response = peer_response(result, key.peer_id)
            sender = key.peer_id
            post_relayed_notice(key, result, response)
        else:
            response = target_response(result, context, dialect)
            sender = key.target_id
        if response is None:
            return SendFailure(BROKEN_RESPONSE, True, sender)
        return response

    def post_relayed_notice(relayed, result, response):
        # This VM may send to the target itself once the peer is gone.
        if response is None or response.refusal is not None:
            return
        notice = dialect.decode_notice(result.status_code, result.get)
        if notice is not None:
            start = read_count(result.get(TARGET_START_HEADER) or "")
            service_name = relayed.policy.service_name
            control_task.post(
                NoticeRelayed(service_name, response.target_id, notice, start)
            )

    def announce_sends(effect, context):
        context.announce_sends(effect.n_sends)

    def abort(effect, context):
        n_open_ended_bytes = 0
        for exchange, key in list(context.key_by_exchange.items()):
            if key is effect.key:
                del context.key_by_exchange[exchange]
                n_open_ended_bytes += exchange.n_open_ended_bytes
                exchange.cancel()
        return n_open_ended_bytes

    def end_sending(effect, context):
        for exchange, key in context.key_by_exchange.items():
            if key is effect.key:
                exchange.end_sending()

    def post(effect, context):
        control_task.post(effect)

    def check_stop(effect, context):
        return stop_limit.may_finish(effect.call, clock.now_ms())

    def report_error(effect, context):
        report_failure("front", effect.error)

    def account(effect, context):
        now_ms = clock.now_ms()
        metrics.count_edge_call(effect.call, effect.outcome, now_ms)
        call = effect.call
        if call.policy is not None:
            duration_ms = now_ms - call.request.arrived_at_ms
            stop_limit.note_call(call.policy.service_name, duration_ms, now_ms)
        log.answer(effect.call, effect.outcome, now_ms)

    return {
        FindRoute: ask,
        CheckKey: check_key,
        AcquireSlot: acquire,
        SpendQuota: ask,
        ReturnQuota: post,
        EndQuotaWait: post,
        CheckPeerAlive: ask,
        FindOwner: ask,
        AnnounceSends: announce_sends,
        CheckStop: check_stop,
        StartSend: start_send,
        ProbeLoads: probe_loads,
        Relay: relay,
        AwaitEvent: await_event,
        Abort: abort,
        EndSending: end_sending,
        Release: post,
        RelayEnded: post,
        Account: account,
        ReportError: report_error,
    }
