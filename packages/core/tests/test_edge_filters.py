"""The filters of routed requests, driven by hand."""

from hornbeamstand_core.edge_messages import (
    HEDGE,
    Abort,
    AcquireSlot,
    AwaitEvent,
    CallerDisconnected,
    CheckPeerAlive,
    EdgeCall,
    EdgeRequest,
    ExchangeEnded,
    FindRoute,
    Relay,
    RequestPolicy,
    Routed,
    StartSend,
    WaitTimedOut,
)
from hornbeamstand_core.filters.edge_chain import build_edge_chain
from hornbeamstand_core.messages import (
    BROKEN_RESPONSE,
    CANCELLED,
    CONNECT_FAILED,
    NOT_RUN,
    OUTCOME_UNKNOWN,
    Account,
    Permit,
    Refusal,
    Release,
    SendFailure,
    UpstreamResponse,
)


class Driver:
    """Plays the tasks: answers effects from a script of events."""

    def __init__(self, is_idempotent=True, relay_to=None, n_attempts_max=2):
        self.policy = RequestPolicy(
            "shop", is_idempotent, 1200.0, 600.0, 1, n_attempts_max
        )
        self.relay_to = relay_to
        self.effects = []
        self.n_permits = 0
        self.refused_kinds = set()
        self.is_peer_alive = True
        self.now_ms = 0.0

    def run(self, *events):
        """Run one call; each event answers one AwaitEvent; returns the outcome."""
        events = list(events)
        request = EdgeRequest("r1", "host", "/x/", "GET", 2500.0, 0.0)
        steps = build_edge_chain()(EdgeCall(request))
        reply = None
        while True:
            try:
                effect = steps.send(reply)
            except StopIteration as stop:
                return stop.value
            self.effects.append(effect)
            reply = self.perform(effect, events)

    def perform(self, effect, events):
        if isinstance(effect, FindRoute):
            return Routed(self.policy, self.relay_to)
        if isinstance(effect, AcquireSlot):
            return self.grant(effect)
        if isinstance(effect, CheckPeerAlive):
            return self.is_peer_alive
        if isinstance(effect, AwaitEvent):
            event = events.pop(0)
            return event(self, effect) if callable(event) else event
        return None

    def grant(self, effect):
        if effect.kind in self.refused_kinds:
            return Refusal("no free target", NOT_RUN, 503)
        self.n_permits += 1
        name = f"t{self.n_permits}"
        return Permit("shop", name, f"{name}:80", effect.dispatch_id, 0.0)

    def sent(self, kind):
        return [effect for effect in self.effects if isinstance(effect, kind)]


def ends(number, result):
    """Return an event: the send with this number ends with a result."""

    def event(driver, effect):
        return ExchangeEnded(
            driver.sent(StartSend)[number].permit, result, driver.now_ms
        )

    return event


def time_up(driver, effect):
    """Return an event: nothing happens until the time that was asked for."""
    driver.now_ms = effect.until_ms
    return WaitTimedOut(effect.until_ms)


GOOD = UpstreamResponse(200)
ERROR = UpstreamResponse(500)
SHED = UpstreamResponse(503, did_not_run=True)
CUT = SendFailure(BROKEN_RESPONSE, True, "t1")
UNREACHED = SendFailure(CONNECT_FAILED, False, "t1")


def test_a_good_answer_is_the_calls():
    outcome = Driver().run(ends(0, GOOD))
    assert outcome.ok_value.target_id == "t1"


def test_every_permit_is_given_back():
    driver = Driver()
    driver.run(time_up, ends(1, GOOD))
    released = {effect.permit.target_id for effect in driver.sent(Release)}
    assert released == {"t1", "t2"}
    assert len(driver.sent(Account)) == 1


def test_a_slow_idempotent_request_is_sent_to_a_second_target():
    driver = Driver()
    outcome = driver.run(time_up, ends(1, GOOD))
    assert outcome.ok_value.target_id == "t2"
    assert [effect.key.target_id for effect in driver.sent(Abort)] == ["t1"]


def test_an_order_is_never_sent_beside_itself():
    driver = Driver(is_idempotent=False)
    driver.run(time_up)
    assert len(driver.sent(StartSend)) == 1


def test_never_more_sends_than_the_route_allows():
    driver = Driver(n_attempts_max=2)
    outcome = driver.run(ends(0, ERROR), ends(1, ERROR))
    assert len(driver.sent(StartSend)) == 2
    assert outcome.ok_value.status == 500


def test_an_order_that_was_cut_is_unknown_and_not_repeated():
    driver = Driver(is_idempotent=False)
    outcome = driver.run(ends(0, CUT))
    assert outcome.err_value.status == 502
    assert outcome.err_value.certainty == OUTCOME_UNKNOWN
    assert len(driver.sent(StartSend)) == 1


def test_an_order_that_did_not_run_is_sent_again():
    for failed in (SHED, UNREACHED):
        driver = Driver(is_idempotent=False)
        outcome = driver.run(ends(0, failed), ends(1, GOOD))
        assert outcome.is_ok()


def test_not_run_is_only_said_if_nothing_ran():
    driver = Driver()
    driver.refused_kinds = {"retry"}
    outcome = driver.run(ends(0, CUT))
    assert outcome.err_value.certainty == OUTCOME_UNKNOWN
    driver = Driver()
    driver.refused_kinds = {"retry"}
    outcome = driver.run(ends(0, SHED))
    assert outcome.err_value.certainty == NOT_RUN


def test_a_call_ends_at_its_routes_timeout():
    driver = Driver(is_idempotent=False)
    outcome = driver.run(time_up)
    assert outcome.err_value.status == 504
    assert driver.now_ms <= 1200.0
    assert len(driver.sent(Abort)) == 1


def test_work_for_a_caller_that_left_is_broken_off():
    driver = Driver()
    driver.run(CallerDisconnected(10.0))
    assert len(driver.sent(Abort)) == 1


def test_an_order_whose_caller_left_ends_by_itself():
    driver = Driver(is_idempotent=False)
    driver.run(CallerDisconnected(10.0), ends(0, GOOD))
    assert not driver.sent(Abort)


def test_a_hedge_without_a_slot_is_tried_again():
    driver = Driver()
    driver.refused_kinds = {HEDGE}
    outcome = driver.run(time_up, time_up, ends(0, GOOD))
    assert outcome.is_ok()
    hedges = [e for e in driver.sent(AcquireSlot) if e.kind == HEDGE]
    assert len(hedges) == 2


# Relays.


def relay_ends(result, now_ms=50.0):
    """Return an event: the relay ends with a result."""

    def event(driver, effect):
        return ExchangeEnded(driver.sent(Relay)[0], result, now_ms)

    return event


def test_a_request_goes_to_the_vm_that_counts_its_service():
    driver = Driver(relay_to="10.0.0.9")
    outcome = driver.run(relay_ends(UpstreamResponse(200, target_id="t7")))
    assert outcome.ok_value.target_id == "t7"
    assert not driver.sent(StartSend)


def test_a_request_whose_owner_can_not_be_reached_is_sent_from_here():
    driver = Driver(relay_to="10.0.0.9", is_idempotent=False)
    outcome = driver.run(relay_ends(UNREACHED), ends(0, GOOD))
    assert outcome.is_ok()


def test_an_order_whose_owner_broke_off_is_unknown():
    driver = Driver(relay_to="10.0.0.9", is_idempotent=False)
    outcome = driver.run(relay_ends(CUT))
    assert outcome.err_value.certainty == OUTCOME_UNKNOWN
    assert not driver.sent(StartSend)


def test_an_idempotent_request_leaves_a_silent_owner():
    driver = Driver(relay_to="10.0.0.9")
    driver.is_peer_alive = False
    outcome = driver.run(lambda d, e: WaitTimedOut(100.0), ends(0, GOOD))
    assert outcome.is_ok()
    assert driver.sent(AcquireSlot)[0].kind == "retry"


def test_no_send_from_here_after_the_owner_may_have_used_the_attempts():
    driver = Driver(relay_to="10.0.0.9")
    outcome = driver.run(relay_ends(CUT, now_ms=500.0))
    assert outcome.err_value.status == 502
    assert not driver.sent(StartSend)


def test_a_relayed_refusal_is_passed_on():
    refusal = Refusal("no target", NOT_RUN, 503, "choose", "10.0.0.9", 40.0)
    driver = Driver(relay_to="10.0.0.9", is_idempotent=False)
    outcome = driver.run(relay_ends(UpstreamResponse(503, refusal=refusal)))
    assert outcome.err_value is refusal


def test_a_relay_ends_with_its_caller():
    driver = Driver(relay_to="10.0.0.9")
    outcome = driver.run(CallerDisconnected(20.0))
    assert outcome.err_value.reason == CANCELLED
    assert len(driver.sent(Abort)) == 1
