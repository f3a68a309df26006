"""Simulates the entry VMs of the core on a virtual clock, with modelled targets.

The effects that the filter chain yields are performed here, in place of the tasks of
the entry process. Equal seeds give equal outcomes.
"""

from random import Random

from hornbeamstand_core.balancer_messages import (
    CapacityReport,
    DeferredReply,
    ProbeResult,
    SendProbe,
)
from hornbeamstand_core.controllers.node import (
    AdoptConfiguration,
    Node,
    SendCapacityReport,
)
from hornbeamstand_core.controllers.owned_targets.choice import (
    make_least_expected_latency,
)
from hornbeamstand_core.controllers.owned_targets.limits import make_aimd
from hornbeamstand_core.controllers.owned_targets.target_state import READY
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

from .chain_run import WAIT, ChainRun, RequestResult
from .target_model import TargetModel

# Time that a message or request takes from one VM to another.
HOP_MS = 1.5
TICK_INTERVAL_MS = 5.0
# Time from a probe to its result.
PROBE_LATENCY_MS = 6.0
LEASE_MS = 2000.0
# Time before the start of the simulation at which the VMs adopt their view and receive
# each other's heartbeats, so that ownership has settled by the start.
SETTLE_MS = 60_000.0
# A time that no simulation reaches.
FOREVER_MS = 1e12


class SimulatedVm:
    """One entry VM: the core's node and filter chain, and performers of the effects."""

    def __init__(self, simulation, member, make_choice, make_limit):
        self.simulation = simulation
        self.world = simulation.world
        self.member_id = member.member_id
        self.node = Node(
            member,
            LEASE_MS,
            simulation.configuration,
            make_choice,
            make_limit,
            self.world.now_ms,
            HOP_MS,
        )
        self.chain = build_default_chain(self._find_service, lambda call: None)
        self.n_forwarded = 0
        self.n_probes = 0
        self._waiting = {}
        self._performers = {
            Acquire: self._acquire,
            Send: self._send,
            Release: self._release,
            Forward: self._forward,
            SpendRetry: self._spend_retry,
            Account: lambda chain_run, effect: None,
        }

    def _find_service(self, name):
        return self.node.ownership.configuration.services.get(name)

    def perform(self, chain_run, effect):
        """Perform one effect and return its reply, or WAIT if the reply comes later."""
        return self._performers[type(effect)](chain_run, effect)

    def post(self, message):
        """Give a message to the controllers and perform the messages they return."""
        for out in self.node.handle(message, self.world.now_ms):
            self._perform_message(out)

    def _perform_message(self, message):
        if type(message) is DeferredReply:
            chain_run = self._waiting.pop(message.request_id)
            chain_run.step(message.reply)
        elif type(message) is SendCapacityReport:
            self.simulation.send_capacity_report(message)
        elif type(message) is SendProbe:
            self._probe(message)

    def _acquire(self, chain_run, effect):
        self._waiting[effect.request_id] = chain_run
        self.world.call_later(0.0, lambda: self.post(effect))
        return WAIT

    def _send(self, chain_run, effect):
        target = self.simulation.targets[effect.permit.target_id]
        is_ended = False

        def end(reply):
            nonlocal is_ended
            if not is_ended:
                is_ended = True
                chain_run.step(reply)

        target_request = target.receive(chain_run.service_ms, end)

        def time_out():
            if not is_ended:
                target.cancel(target_request)
                end(SendFailure(TIMED_OUT, True, target.target_id))

        self.world.call_at(effect.deadline_at_ms, time_out)
        return WAIT

    def _release(self, chain_run, effect):
        self.post(effect)

    def _spend_retry(self, chain_run, effect):
        return self.node.handle(effect, self.world.now_ms)[0]

    def _forward(self, chain_run, effect):
        self.n_forwarded += 1
        peer = self.simulation.vms[effect.peer_id]
        request = chain_run.call.request
        name = request.service_name

        def arrive():
            remaining_ms = effect.deadline_at_ms - self.world.now_ms
            forwarded = Request(
                request.request_id,
                name,
                request.method,
                request.path,
                None,
                remaining_ms,
                self.world.now_ms,
                n_hops=1,
                is_recorded=True,
            )
            ChainRun(peer, Call(forwarded), chain_run.service_ms, end_at_peer).step()

        def end_at_peer(outcome):
            service = peer.node.balancer.services[name]
            report = service.capacity_report(self.world.now_ms)
            self.world.call_later(HOP_MS, lambda: receive_answer(outcome, report))

        def receive_answer(outcome, report):
            self.post(report)
            if outcome.is_ok():
                answer = outcome.ok_value
                chain_run.step(
                    UpstreamResponse(answer.status, target_id=answer.target_id)
                )
            else:
                chain_run.step(UpstreamResponse(503, refusal=outcome.err_value))

        self.world.call_later(HOP_MS, arrive)
        return WAIT

    def _probe(self, probe):
        self.n_probes += 1
        target = self.simulation.targets[probe.target_id]

        def end():
            is_bad = target.mode in ("fail", "gone")
            report = None if is_bad else target.report()
            self.post(
                ProbeResult(
                    probe.service_name, probe.target_id, report, PROBE_LATENCY_MS
                )
            )

        self.world.call_later(PROBE_LATENCY_MS, end)

    def tick(self):
        """Serve or expire queued requests and send due probes, at regular intervals."""
        for message in self.node.balancer.tick(self.world.now_ms):
            self._perform_message(message)
        self.world.call_later(TICK_INTERVAL_MS, self.tick)


class Simulation:
    """Entry VMs and targets of one configuration.

    Parameters
    ----------
    world : World
        The clock. It must not have passed time 0.
    configuration : Configuration
        Services, targets and failure domains.
    n_vms : int
        Number of entry VMs, which are spread over the failure domains.
    seed : int
        Seed of the callers' choice of a VM and of random policies.
    make_choice, make_limit : callable
        Policies that choose a target and adjust its limit. ``make_choice`` takes a
        seeded Random.
    has_owners : bool
        Whether each target has one owner. Without owners, the naive version, every
        VM uses every target independently of the other VMs.
    """

    def __init__(
        self,
        world,
        configuration,
        n_vms=13,
        seed=0,
        make_choice=lambda rng: make_least_expected_latency(),
        make_limit=make_aimd,
        has_owners=True,
    ):
        self.world = world
        self.configuration = configuration
        self.rng = Random(seed)
        self.has_owners = has_owners
        self.results = []
        self.targets = {
            target_id: TargetModel(world, target_id, spec.slots)
            for service in configuration.services.values()
            for target_id, spec in service.targets.items()
        }
        rng = Random(seed + 1)
        members = self._make_members(n_vms)
        self.vms = {
            member.member_id: SimulatedVm(
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
            vm.node.membership.fence.note_renewal(FOREVER_MS)
            for peer_id in self.vms:
                if peer_id != vm.member_id:
                    heartbeat = Heartbeat(peer_id, vm.member_id, 1, 0, start_ms)
                    vm.node.handle(heartbeat, start_ms)
        for vm in self.vms.values():
            vm.node.ownership.activate_pending(self.world.now_ms)
            if not self.has_owners:
                self._gain_all_targets(vm)
            vm.node.balancer.set_fence_end(FOREVER_MS)
            vm.tick()
        self._mark_targets_ready()

    def _gain_all_targets(self, vm):
        for name, service in vm.node.balancer.services.items():
            for target_id in service.spec.targets:
                if target_id not in service.targets:
                    service.gain_target(target_id, True)
            vm.node.ownership.serving_sets[name] = [vm.member_id]
            service.peers.keep_only([])

    def _mark_targets_ready(self):
        for vm in self.vms.values():
            for service in vm.node.balancer.services.values():
                for state in service.targets.values():
                    state.phase = READY
                    state.limit = float(state.ceiling)

    def send_capacity_report(self, message):
        """Deliver a report of free capacity after one hop."""
        by_address = {
            vm.node.membership.me.peer_address: vm for vm in self.vms.values()
        }
        peer = by_address[message.address]
        report = message.report
        copy = CapacityReport(
            report.service_name,
            report.member_id,
            report.n_free,
            report.n_waiting,
            report.wait_ms,
        )
        self.world.call_later(HOP_MS, lambda: peer.post(copy))

    def publish(self, configuration):
        """Make every VM adopt a configuration after one hop.

        Every VM then sends its heartbeats to the others, after a second hop.
        """
        if not self.has_owners:
            self.world.call_later(
                HOP_MS, lambda: self._adopt_without_owners(configuration)
            )
            return

        def adopt(vm):
            vm.node.handle(AdoptConfiguration(configuration), self.world.now_ms)
            vm.node.membership.fence.note_renewal(FOREVER_MS)

        for vm in self.vms.values():
            self.world.call_later(HOP_MS, lambda vm=vm: adopt(vm))
        for vm in self.vms.values():
            for peer_id in self.vms:
                self.world.call_later(
                    2 * HOP_MS, lambda v=vm, p=peer_id: self._send_heartbeat(p, v)
                )

    def _adopt_without_owners(self, configuration):
        for vm in self.vms.values():
            for name, service in vm.node.balancer.services.items():
                service.adopt_spec(configuration.services[name], configuration.is_open)

    def _send_heartbeat(self, sender_id, receiver):
        if sender_id == receiver.member_id:
            return
        node = self.vms[sender_id].node
        out = node.membership.send_heartbeats(self.world.now_ms)
        for message in out:
            if message.heartbeat.receiver_id == receiver.member_id:
                receiver.post(message.heartbeat)

    def request(self, service_name, service_ms, method="GET", path="/"):
        """Send one request to a random owner, as a caller after a lookup would.

        Without owners, it goes to a random VM.
        """
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
                RequestResult(arrived_at_ms, latency_ms, refusal, service_name)
            )

        ChainRun(vm, Call(request), service_ms, end).step()

    def _pick_vm(self, service_name):
        if not self.has_owners:
            return self.rng.choice(list(self.vms.values()))
        node = next(iter(self.vms.values())).node
        owners = node.ownership.owners[service_name]
        return self.vms[self.rng.choice(list(owners.values()))]
