"""Entry VMs of the core on a virtual clock, with modelled targets.

Effects that the filter chain yields are performed here, in place of the tasks of
the entry process. Equal seeds give equal outcomes.
"""

from random import Random

from hornbeamstand_core.balancer_messages import (
    CapacityReport,
    DeferredReply,
    ProbeResult,
    SendProbe,
)
from hornbeamstand_core.controllers.choice import make_least_expected_latency
from hornbeamstand_core.controllers.limits import make_aimd
from hornbeamstand_core.controllers.node import (
    AdoptConfiguration,
    Node,
    SendCapacityReport,
)
from hornbeamstand_core.controllers.target_state import READY
from hornbeamstand_core.filters import build_default_chain
from hornbeamstand_core.messages import (
    TIMED_OUT,
    Account,
    Acquire,
    Call,
    Forward,
    Release,
    Request,
    Send,
    SendFailure,
    SpendRetry,
    UpstreamResponse,
)
from hornbeamstand_core.peer_messages import Heartbeat
from hornbeamstand_core.view import Member, View

from .target_model import TargetModel

HOP_MS = 1.5
TICK_MS = 5.0
PROBE_MS = 6.0
LEASE_MS = 2000.0
# Nodes are built this long before time 0, so that ownership has settled by then.
SETTLE_MS = 60_000.0
NEVER_MS = 1e12


class Result:
    """How one request ended."""

    __slots__ = ("at_ms", "latency_ms", "refusal", "service_name")

    def __init__(self, at_ms, latency_ms, refusal, service_name):
        self.at_ms = at_ms
        self.latency_ms = latency_ms
        self.refusal = refusal
        self.service_name = service_name


class Flow:
    """One request on its way through one VM's filter chain."""

    __slots__ = ("vm", "call", "steps", "service_ms", "on_end", "is_done")

    def __init__(self, vm, call, service_ms, on_end):
        self.vm = vm
        self.call = call
        self.service_ms = service_ms
        self.on_end = on_end
        self.steps = vm.chain(call)
        self.is_done = False

    def step(self, reply=None):
        """Go on to the next effect that must wait."""
        while True:
            try:
                effect = self.steps.send(reply)
            except StopIteration as stop:
                self.is_done = True
                self.on_end(stop.value)
                return
            reply = self.vm.perform(self, effect)
            if reply is WAIT:
                return


WAIT = object()


class PlayedVm:
    """One entry VM: the core's node and chain, and performers for its effects."""

    def __init__(self, player, member, make_choice, make_limit):
        self.player = player
        self.world = player.world
        self.member_id = member.member_id
        self.node = Node(
            member,
            LEASE_MS,
            player.configuration,
            make_choice,
            make_limit,
            self.world.now_ms,
            HOP_MS,
        )
        self.chain = build_default_chain(self._find_service, lambda call: None)
        self.n_handed_over = 0
        self.n_probes = 0
        self._waiting = {}
        self._performers = {
            Acquire: self._acquire,
            Send: self._send,
            Release: self._release,
            Forward: self._forward,
            SpendRetry: self._ask_retry,
            Account: lambda flow, effect: None,
        }

    def _find_service(self, name):
        return self.node.ownership.configuration.services.get(name)

    def perform(self, flow, effect):
        """Perform one effect; returns its reply, or WAIT."""
        return self._performers[type(effect)](flow, effect)

    def post(self, message):
        """Give a message to the controllers and perform what they return."""
        for out in self.node.handle(message, self.world.now_ms):
            self._perform_message(out)

    def _perform_message(self, message):
        if type(message) is DeferredReply:
            flow = self._waiting.pop(message.request_id)
            flow.step(message.reply)
        elif type(message) is SendCapacityReport:
            self.player.send_room(message)
        elif type(message) is SendProbe:
            self._probe(message)

    def _acquire(self, flow, effect):
        self._waiting[effect.request_id] = flow
        self.world.after(0.0, lambda: self.post(effect))
        return WAIT

    def _send(self, flow, effect):
        target = self.player.targets[effect.permit.target_id]
        ended = False

        def end(reply):
            nonlocal ended
            if not ended:
                ended = True
                flow.step(reply)

        run = target.send(flow.service_ms, end)

        def time_out():
            if not ended:
                target.cancel(run)
                end(SendFailure(TIMED_OUT, True, target.target_id))

        self.world.at(effect.deadline_at_ms, time_out)
        return WAIT

    def _release(self, flow, effect):
        self.post(effect)

    def _ask_retry(self, flow, effect):
        return self.node.handle(effect, self.world.now_ms)[0]

    def _forward(self, flow, effect):
        self.n_handed_over += 1
        peer = self.player.vms[effect.peer_id]
        request = flow.call.request
        name = request.service_name

        def arrive():
            left_ms = effect.deadline_at_ms - self.world.now_ms
            handed = Request(
                request.request_id,
                name,
                request.method,
                request.path,
                None,
                left_ms,
                self.world.now_ms,
                n_hops=1,
                is_recorded=True,
            )
            Flow(peer, Call(handed), flow.service_ms, answer).step()

        def answer(outcome):
            service = peer.node.balancer.services[name]
            news = service.capacity_report(self.world.now_ms)
            self.world.after(HOP_MS, lambda: come_back(outcome, news))

        def come_back(outcome, news):
            self.post(news)
            if outcome.is_ok():
                ran = outcome.ok_value
                flow.step(UpstreamResponse(ran.status, target_id=ran.target_id))
            else:
                flow.step(UpstreamResponse(503, refusal=outcome.err_value))

        self.world.after(HOP_MS, arrive)
        return WAIT

    def _probe(self, probe):
        self.n_probes += 1
        target = self.player.targets[probe.target_id]

        def end():
            is_bad = target.mode in ("fail", "gone")
            report = None if is_bad else target.report()
            self.post(
                ProbeResult(probe.service_name, probe.target_id, report, PROBE_MS)
            )

        self.world.after(PROBE_MS, end)

    def tick(self):
        """Expire what waits and send probes."""
        for message in self.node.balancer.tick(self.world.now_ms):
            self._perform_message(message)
        self.world.after(TICK_MS, self.tick)


class Player:
    """Entry VMs and targets of one configuration.

    Parameters
    ----------
    world : World
        The clock; must not have passed time 0.
    configuration : Configuration
        Services, targets and failure domains.
    n_vms : int
        Entry VMs, spread over the failure domains.
    seed : int
        For the callers' choice of a VM and for random policies.
    make_choice, make_limit : callable
        Policies; ``make_choice`` takes a seeded Random.
    is_shared : bool
        Whether each target has one owner; without, every VM uses every target
        for itself (the naive version).
    """

    def __init__(
        self,
        world,
        configuration,
        n_vms=13,
        seed=0,
        make_choice=lambda rng: make_least_expected_latency(),
        make_limit=make_aimd,
        is_shared=True,
    ):
        self.world = world
        self.configuration = configuration
        self.rng = Random(seed)
        self.is_shared = is_shared
        self.results = []
        self.targets = {
            target_id: TargetModel(world, target_id, spec.slots)
            for service in configuration.services.values()
            for target_id, spec in service.targets.items()
        }
        rng = Random(seed + 1)
        members = self._make_members(n_vms)
        self.vms = {
            member.member_id: PlayedVm(
                self, member, lambda: make_choice(rng), make_limit
            )
            for member in members
        }
        self._settle(View(1, {m.member_id: m for m in members}))
        self._n_requests = 0

    def _make_members(self, n_vms):
        domains = sorted(self.configuration.failure_domains)
        return [
            Member(f"vm{i:02d}", f"f{i}", f"p{i}", domains[i % len(domains)])
            for i in range(n_vms)
        ]

    def _settle(self, view):
        start_ms = self.world.now_ms - SETTLE_MS
        for vm in self.vms.values():
            vm.node.ownership.adopt_view(view, {}, start_ms)
            vm.node.membership.fence.note_renewal(NEVER_MS)
            for peer_id in self.vms:
                if peer_id != vm.member_id:
                    beat = Heartbeat(peer_id, vm.member_id, 1, 0, start_ms)
                    vm.node.handle(beat, start_ms)
        for vm in self.vms.values():
            vm.node.ownership.activate_pending(self.world.now_ms)
            if not self.is_shared:
                self._gain_all(vm)
            vm.node.balancer.set_fence_end(NEVER_MS)
            vm.tick()
        self._warm()

    def _gain_all(self, vm):
        for name, service in vm.node.balancer.services.items():
            for target_id in service.spec.targets:
                if target_id not in service.targets:
                    service.gain_target(target_id, True)
            vm.node.ownership.serving_sets[name] = [vm.member_id]
            service.peers.keep_only([])

    def _warm(self):
        for vm in self.vms.values():
            for service in vm.node.balancer.services.values():
                for state in service.targets.values():
                    state.phase = READY
                    state.limit = float(state.ceiling)

    def send_room(self, message):
        """Deliver news of spare room after one hop."""
        by_address = {
            vm.node.membership.me.peer_address: vm for vm in self.vms.values()
        }
        peer = by_address[message.address]
        news = message.report
        copy = CapacityReport(
            news.service_name, news.member_id, news.n_free, news.n_waiting, news.wait_ms
        )
        self.world.after(HOP_MS, lambda: peer.post(copy))

    def publish(self, configuration):
        """Adopt a configuration on every VM, as if it took one hop."""
        if not self.is_shared:
            self.world.after(HOP_MS, lambda: self._adopt_alone(configuration))
            return

        def adopt(vm):
            vm.node.handle(AdoptConfiguration(configuration), self.world.now_ms)
            vm.node.membership.fence.note_renewal(NEVER_MS)

        for vm in self.vms.values():
            self.world.after(HOP_MS, lambda vm=vm: adopt(vm))
        for vm in self.vms.values():
            for peer_id in self.vms:
                self.world.after(2 * HOP_MS, lambda v=vm, p=peer_id: self._beat(p, v))

    def _adopt_alone(self, configuration):
        for vm in self.vms.values():
            for name, service in vm.node.balancer.services.items():
                service.adopt_spec(configuration.services[name], configuration.is_open)

    def _beat(self, sender_id, receiver):
        if sender_id == receiver.member_id:
            return
        node = self.vms[sender_id].node
        out = node.membership.send_heartbeats(self.world.now_ms)
        for message in out:
            if message.heartbeat.receiver_id == receiver.member_id:
                receiver.post(message.heartbeat)

    def request(self, service_name, service_ms, method="GET", path="/"):
        """Send one request to a VM, as a caller with a lookup answer would."""
        vm = self._pick_vm(service_name)
        self._n_requests += 1
        arrived_at_ms = self.world.now_ms
        request = Request(
            f"r{self._n_requests}",
            service_name,
            method,
            path,
            arrived_at_ms=arrived_at_ms,
        )

        def end(outcome):
            latency_ms = self.world.now_ms - arrived_at_ms
            refusal = None if outcome.is_ok() else outcome.err_value
            if outcome.is_ok() and outcome.ok_value.status >= 500:
                refusal = outcome.ok_value
            self.results.append(
                Result(arrived_at_ms, latency_ms, refusal, service_name)
            )

        Flow(vm, Call(request), service_ms, end).step()

    def _pick_vm(self, service_name):
        if not self.is_shared:
            return self.rng.choice(list(self.vms.values()))
        node = next(iter(self.vms.values())).node
        owners = node.ownership.owners[service_name]
        return self.vms[self.rng.choice(list(owners.values()))]
