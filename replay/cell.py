"""Simulates a cell of entry VMs on a virtual clock, with a fake platform and network.

Messages are delayed or lost, VMs are cut off from each other, crash or pause, and their
clocks drift. A request that was sent keeps running at its target after its VM has
crashed, for up to the maximum deadline, as in the worst case.
"""

from random import Random

from hornbeamstand_core.balancer_messages import DeferredReply
from hornbeamstand_core.controllers.node import (
    AdoptConfiguration,
    AdoptView,
    BeginStop,
    ConnectionsClosed,
    Node,
    SendCapacityReport,
    Tick,
)
from hornbeamstand_core.controllers.owned_targets.choice import (
    make_least_expected_latency,
)
from hornbeamstand_core.controllers.owned_targets.limits import make_aimd
from hornbeamstand_core.controllers.stopping import CLOSING, RUNNING, STOPPED
from hornbeamstand_core.membership_messages import (
    FetchPeerState,
    GrantLease,
    LeaseGranted,
    RoundDone,
    RoundFailed,
    SendHeartbeat,
    StartRound,
    WriteView,
)
from hornbeamstand_core.messages import Acquire, Permit, Release, UpstreamResponse
from hornbeamstand_core.view import Member

from .fakes import LEASE_MS, FakePlatform, FakeTarget

TICK_INTERVAL_MS = 10.0
# Minimum and maximum delay of a message between two VMs.
NETWORK_DELAY_MIN_MS = 0.5
NETWORK_DELAY_MAX_MS = 3.0
# Time that each call to the platform takes.
PLATFORM_DELAY_MS = 4.0
# Maximum deviation of the rate of a VM's clock; the product allows 1%.
CLOCK_DRIFT_MAX = 0.004


class CellVm:
    """One entry VM of the cell, with a clock of its own.

    A crashed VM neither sends nor receives. A paused VM holds messages until it
    resumes. ``is_crashed`` is also set at the end of a planned stop. ``n_in_flight``
    counts the requests that wait for a slot or run, ``n_permits`` the slots granted.
    """

    def __init__(self, cell, name, domain, host=None):
        self.cell = cell
        self.world = cell.world
        self.clock_rate = 1.0 + cell.rng.uniform(-CLOCK_DRIFT_MAX, CLOCK_DRIFT_MAX)
        self.clock_offset_ms = cell.rng.uniform(0.0, 1e6)
        self.is_paused = False
        self.is_crashed = False
        self.held_messages = []
        self.n_in_flight = 0
        self.n_permits = 0
        host = host or name
        member = Member(name, f"front-{host}", f"peer-{host}", domain)
        self.member_id = name
        self.peer_address = member.peer_address
        self.node = Node(
            member,
            LEASE_MS,
            cell.configuration,
            make_least_expected_latency,
            make_aimd,
            self.now_ms(),
        )
        self._tick()

    def now_ms(self):
        """Return the time of the VM's own clock in ms."""
        return self.world.now_ms * self.clock_rate + self.clock_offset_ms

    def post(self, message):
        """Deliver a message, at once or when the VM resumes from a pause."""
        if self.is_crashed:
            return
        if self.is_paused:
            self.held_messages.append(message)
            return
        for out in self.node.handle(message, self.now_ms()):
            self._perform(out)

    def resume(self):
        """End a pause and deliver the held messages."""
        self.is_paused = False
        held_messages, self.held_messages = self.held_messages, []
        for message in held_messages:
            self.post(message)

    def _tick(self):
        if self.is_crashed:
            return
        if not self.is_paused:
            self.post(Tick(self.n_in_flight))
            if self.node.stopping.phase == CLOSING and not self.n_in_flight:
                self.post(ConnectionsClosed())
            if self.node.stopping.phase == STOPPED:
                self.is_crashed = True
                return
        self.world.call_later(TICK_INTERVAL_MS, self._tick)

    def _perform(self, message):
        kind = type(message)
        if kind is SendHeartbeat:
            self.cell.send(self, message.address, message.heartbeat)
        elif kind is SendCapacityReport:
            self.cell.send(self, message.address, message.report)
        elif kind is DeferredReply:
            self._take_deferred_reply(message)
        elif kind is FetchPeerState:
            self.cell.fetch_peer_state(self, message.address)
        elif kind is StartRound:
            self.cell.start_round(self, message)
        elif kind is GrantLease:
            self.cell.grant_lease(self)
        elif kind is WriteView:
            self.cell.write_view(self, message)

    def _take_deferred_reply(self, deferred_reply):
        self.n_in_flight -= 1
        if type(deferred_reply.reply) is not Permit:
            return
        self.n_permits += 1
        self.n_in_flight += 1
        self.cell.start_work(self, deferred_reply.reply)

    def request(self, service_name, deadline_ms):
        """Acquire a slot for a request, which this VM may not forward to another."""
        if self.is_crashed or self.is_paused:
            return
        self.n_in_flight += 1
        request_id = f"{self.member_id}-{self.cell.next_request_number()}"
        deadline_at_ms = self.now_ms() + deadline_ms
        self.post(Acquire(service_name, request_id, deadline_at_ms, may_forward=False))


class Cell:
    """The VMs of a cell, the platform, the targets and the network between them.

    Parameters
    ----------
    world : World
        The clock.
    configuration : Configuration
        The configuration in force at the start.
    n_vms : int
        Number of VMs that start at time 0.
    seed : int
        Seed of the delays, the losses, the clocks and the lengths of requests.

    ``cuts`` has a frozenset of two member ids for each pair of VMs that lose all
    messages to each other. ``loss_share`` is the share of other messages that are lost.
    """

    def __init__(self, world, configuration, n_vms, seed):
        self.world = world
        self.configuration = configuration
        self.rng = Random(seed)
        self.platform = FakePlatform(world)
        self.vms = []
        self.cuts = set()
        self.loss_share = 0.0
        self.targets = {
            target_id: FakeTarget(spec.slots)
            for service in configuration.services.values()
            for target_id, spec in service.targets.items()
        }
        self._n_requests = 0
        for _ in range(n_vms):
            self.start_vm()

    def next_request_number(self):
        """Return a number that no other request has."""
        self._n_requests += 1
        return self._n_requests

    def start_vm(self):
        """Start one more VM and return it."""
        domains = sorted(self.configuration.failure_domains)
        name = f"vm{len(self.vms)}"
        vm = CellVm(self, name, domains[len(self.vms) % len(domains)])
        self.vms.append(vm)
        return vm

    def restart_vm(self, vm):
        """Start the process of a VM that has crashed again; returns it.

        It has the addresses of the earlier process and another member id.
        """
        host = vm.peer_address.removeprefix("peer-")
        domain = vm.node.membership.me.failure_domain
        started = CellVm(self, f"{vm.member_id}-again", domain, host)
        self.vms.append(started)
        return started

    def live_vms(self):
        """Return the VMs that have not crashed or stopped."""
        return [vm for vm in self.vms if not vm.is_crashed]

    # Network.

    def _delay_ms(self):
        return self.rng.uniform(NETWORK_DELAY_MIN_MS, NETWORK_DELAY_MAX_MS)

    def is_cut(self, one, other):
        """Return whether all messages between two VMs are lost."""
        return frozenset((one.member_id, other.member_id)) in self.cuts

    def send(self, sender, address, message):
        """Carry a message from one VM to another, unless it is lost."""
        receiver = self._find(address)
        if receiver is None or self.is_cut(sender, receiver):
            return
        if self.rng.random() < self.loss_share:
            return
        self.world.call_later(self._delay_ms(), lambda: receiver.post(message))

    def _find(self, address):
        # The latest process of a VM has its address.
        for vm in reversed(self.vms):
            if address == vm.peer_address:
                return vm
        return None

    def fetch_peer_state(self, vm, address):
        """Bring a peer's view and configuration to a VM."""
        peer = self._find(address)
        if peer is None or peer.is_crashed or peer.is_paused or self.is_cut(vm, peer):
            return
        ownership = peer.node.ownership
        view, configuration = ownership.view, ownership.configuration

        def arrive():
            vm.post(AdoptView(view))
            vm.post(AdoptConfiguration(configuration))

        self.world.call_later(2 * self._delay_ms(), arrive)

    # Platform.

    def _call_platform(self, vm, perform):
        self.platform.n_calls += 1
        if not self.platform.is_up:
            self.world.call_later(PLATFORM_DELAY_MS, lambda: vm.post(RoundFailed()))
            return
        self.world.call_later(PLATFORM_DELAY_MS, perform)

    def start_round(self, vm, message):
        """Read the view, then renew leases, in one call to the platform each."""

        def read():
            view, revision = self.platform.view, self.platform.revision
            self._call_platform(vm, lambda: renew(view, revision))

        def renew(view, revision):
            lapsed = self.platform.renew(message.renew_ids, message.check_ids)
            done = RoundDone(view, revision, lapsed, message.heartbeat_at_ms)
            self.world.call_later(PLATFORM_DELAY_MS, lambda: vm.post(done))

        self._call_platform(vm, read)

    def grant_lease(self, vm):
        """Bring a new lease to a VM."""
        self._call_platform(vm, lambda: vm.post(LeaseGranted(self.platform.grant())))

    def write_view(self, vm, message):
        """Write the view and bring the answer to the VM, unless it is lost."""

        def write():
            took_effect = self.platform.write(message.view, message.revision)
            if self.platform.n_lost_answers > 0:
                self.platform.n_lost_answers -= 1
            elif took_effect:
                vm.post(AdoptView(message.view))

        self._call_platform(vm, write)

    def publish(self, configuration):
        """Bring a configuration to every VM, each after a delay of its own."""
        self.configuration = configuration
        for vm in self.live_vms():
            self.world.call_later(
                self.rng.uniform(1.0, 200.0),
                lambda vm=vm: vm.post(AdoptConfiguration(configuration)),
            )

    # Requests.

    def start_work(self, vm, permit):
        """Run one request at its target, for at most the service's maximum deadline.

        Most requests take at most 20 ms.
        """
        target = self.targets[permit.target_id]
        target.start()
        longest_ms = self.configuration.services[permit.service_name].deadline_max_ms
        length_ms = self.rng.uniform(1.0, longest_ms)
        if self.rng.random() < 0.7:
            length_ms = min(length_ms, 20.0)

        def end():
            target.end()
            vm.n_in_flight -= 1
            vm.post(Release(permit, UpstreamResponse(200)))

        self.world.call_later(length_ms, end)

    def load(self, service_name, interval_ms, end_ms):
        """Send a request to every running VM at intervals, until a time.

        VMs that are stopping get none, since lookups no longer name them.
        """

        def send():
            if self.world.now_ms >= end_ms:
                return
            for vm in self.live_vms():
                if vm.node.stopping.phase == RUNNING:
                    vm.request(service_name, 100.0)
            self.world.call_later(interval_ms, send)

        send()

    # Conditions that tests check.

    def n_overrun(self):
        """Return the number of requests that started beyond their target's slots."""
        return sum(target.n_overrun for target in self.targets.values())

    def active_owners(self):
        """Return a dict of target id to ids of the VMs that may dispatch to it now."""
        owners = {target_id: [] for target_id in self.targets}
        for vm in self.live_vms():
            if vm.is_paused:
                continue
            now_ms = vm.now_ms()
            for service in vm.node.balancer.services.values():
                if now_ms >= service.fence_end_at_ms:
                    continue
                for target_id in service.targets:
                    owners[target_id].append(vm.member_id)
        return owners

    def is_settled(self):
        """Return whether every target has exactly one owner that may dispatch to it."""
        return all(len(vms) == 1 for vms in self.active_owners().values())

    def stop_vm(self, vm, deadline_ms=30_000.0):
        """Begin a planned stop of a VM."""
        vm.post(BeginStop(deadline_ms))
