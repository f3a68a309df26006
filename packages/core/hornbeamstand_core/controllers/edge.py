"""One interface to the controllers of an entry VM that serves discovered targets."""

from random import Random

from ..discovery import (
    StoreAvailable,
    StoreChanges,
    StoreEraNoted,
    StoreSnapshot,
    StoreUnavailable,
)
from ..edge_messages import (
    AcquireSlot,
    FindRoute,
    NoticeRelayed,
    StateChange,
)
from ..edge_node_messages import (
    WATCH_ALL,
    WATCH_NOTHING,
    Contacts,
    EdgeHeartbeat,
    EdgeTick,
    RetryLimits,
    SendEdgeHeartbeat,
    StopEdge,
    StoreChecked,
)
from ..key_messages import CheckKey
from ..load_probe_messages import LoadProbeResult
from ..messages import Release, Withdraw
from ..relay_messages import CheckPeerAlive, FindOwner, RelayEnded
from ..target_copy_messages import TargetsConfirmed, TargetsFetched
from .domains.room_lending import RoomLending
from .load.admission import Admission
from .load.capacity import ServiceCapacity
from .load.overload import OverloadDetector
from .peers.owner_paths import OwnerPaths
from .peers.peer_failures import PeerFailures
from .peers.peer_view import PeerView
from .quotas.quotas import Quotas
from .rollouts.rollouts import Rollouts
from .route_lookup import RouteLookup
from .routing import Routing
from .store.config_fetching import ConfigFetching
from .store.store_following import StoreFollowing
from .store.store_records import StoreRecords
from .store.watch_scope import WatchScope
from .targets.target_recovery import TargetRecovery
from .targets.target_table import TargetTable
from .targets.target_wait import TargetWait

# Interval of the rounds that send heartbeats and update what this VM watches.
HEARTBEAT_ROUND_MS = 125.0


class EdgeNode:
    """The routes, targets, service capacities and peers of one VM.

    ``config_raw`` is the encoded configuration, which peers copy.

    Parameters
    ----------
    me : EdgeIdentity
        This VM.
    retry_limits : RetryLimits
        Limits of retries and hedges.
    n_named : int
        Number of VMs that a lookup names.
    seed_ips : sequence of str
        Peers to contact first.
    rollout_bounds : RolloutBounds, optional
        What a bad version may get; without them, there are no roll-outs.
    """

    __slots__ = (
        "me",
        "retry_limits",
        "n_named",
        "routing",
        "peers",
        "peer_failures",
        "owner_paths",
        "watch_scope",
        "overload",
        "admission",
        "table",
        "services",
        "config_raw",
        "recovery",
        "quotas",
        "rollouts",
        "room_lending",
        "_store",
        "_target_wait",
        "_records",
        "_rng",
        "_next_round_ms",
        "_config_fetching",
        "_handlers",
    )

    def __init__(self, me, retry_limits, n_named, seed_ips, rollout_bounds=None):
        self.me = me
        self.retry_limits = retry_limits
        self.n_named = n_named
        self.peers = PeerView(me, seed_ips)
        self.peer_failures = PeerFailures()
        self.owner_paths = OwnerPaths(self.peers, self.peer_failures)
        # Without seeds, no peer announces the first configuration: each VM reads it.
        is_seed = not seed_ips or me.ip in seed_ips
        self.watch_scope = WatchScope(self.peers, is_seed)
        self.overload = OverloadDetector(me.started_at_ms)
        self.services = {}
        self.table = TargetTable(self.find_service)
        self.config_raw = b""
        self._target_wait = TargetWait(me.ip, self.owner_paths, self.table)
        self._rng = Random(f"{me.vm_id}{me.start_id}")
        self.admission = Admission(Random(f"{me.vm_id}{me.start_id}-admission"))
        self.routing = Routing(self._rng)
        lookup = RouteLookup(
            self.routing, self.peers, self.owner_paths, self.is_cut_off
        )
        serving = (self.services, self.peers, self.routing)
        self.rollouts = Rollouts(rollout_bounds, me, *serving, retry_limits.n_owners)
        held = (self.routing, self.table, self.services, self.peers, self.rollouts)
        self._records = StoreRecords(*held, self._note_config)
        following = (self.peers, self.table, self.watch_scope)
        self.recovery = TargetRecovery(*following, self._records, self.routing)
        self._store = StoreFollowing(*following, self.recovery)
        self.quotas = Quotas(self.peers, self.routing)
        self.room_lending = RoomLending(me, self.services, self.peers, self._owns)
        self._next_round_ms = 0.0
        self._config_fetching = ConfigFetching()
        self._handlers = {
            FindRoute: lookup.find_route,
            CheckKey: lookup.check_key,
            AcquireSlot: self._acquire,
            LoadProbeResult: self._note_load,
            NoticeRelayed: self._take_relayed_notice,
            Release: self._release,
            Withdraw: self._withdraw,
            CheckPeerAlive: self._check_peer_alive,
            FindOwner: self._find_owner,
            RelayEnded: self.peer_failures.note_relay_end,
            StoreChanges: self._apply_update,
            StoreSnapshot: self._apply_update,
            StoreUnavailable: self._note_store_unavailable,
            StoreAvailable: self._note_store_available,
            StoreChecked: self._store.note_checked,
            StoreEraNoted: self._records.note_era,
            TargetsFetched: self._take_targets,
            TargetsConfirmed: self._take_targets,
            EdgeHeartbeat: self._note_heartbeat,
            Contacts: self.peers.note_contacts,
            EdgeTick: self._tick,
            RetryLimits: self._adopt_retry_limits,
            StopEdge: self._stop,
            **self.quotas.handlers,
            **self.rollouts.handlers(),
            **self.room_lending.handlers,
        }

    def handle(self, message, now_ms):
        """Handle one message; return the resulting messages."""
        return self._handlers[type(message)](message, now_ms)

    def find_service(self, name):
        """Return the ServiceCapacity of a service, creating it on first use."""
        service = self.services.get(name)
        if service is None:
            service = ServiceCapacity(
                name,
                self.me.failure_domain,
                self._rng,
                self.retry_limits,
                self._owns,
                self._count_vms,
                self.peers.other_owners,
            )
            if self.routing.config is not None:
                service.rules = self.routing.config.services.get(name)
            service.out_of_service_domains = self._records.out_of_service_domains()
            self.rollouts.attach(service)
            self.services[name] = service
        return service

    # Requests.

    def _acquire(self, message, now_ms):
        service = self.find_service(message.service_name)
        self._note_target_wait(now_ms)
        service.is_awaiting_targets = self._target_wait.is_awaiting(now_ms)
        service.note_owner(now_ms)
        return service.acquire(message, now_ms)

    def _note_target_wait(self, now_ms):
        if self.watch_scope.scope == WATCH_ALL:
            is_fruitless = self.recovery.is_fruitless
            is_hindered = self._store.is_unavailable or is_fruitless
            self._target_wait.is_fruitless = self._store.is_unavailable and is_fruitless
        else:
            # Nothing is read before the heartbeats tell that the owners are gone.
            is_hindered = bool(self.peer_failures.passed_over_ips())
            self._target_wait.is_fruitless = False
        self._target_wait.note(is_hindered, now_ms)

    def is_cut_off(self, now_ms):
        """Return whether this VM can't serve, since it can use no owner."""
        return self._target_wait.is_cut_off(now_ms)

    def _owns(self, service_name, failure_domain, now_ms):
        return (
            self.peers.ranking.owner(service_name, now_ms, failure_domain) == self.me.ip
        )

    def _count_vms(self):
        """Return the number of VMs if all failure domains have as many as this one."""
        return self.retry_limits.n_owners * (1 + self.peers.n_local_contacts)

    def _note_load(self, message, now_ms):
        service = self.find_service(message.service_name)
        return service.note_load(message, now_ms)

    def _take_relayed_notice(self, message, now_ms):
        # Peers may name any number of services.
        service = self.services.get(message.service_name)
        if service and service.has_start(message.target_id, message.started_wall_ms):
            return service.take_relayed_notice(message, now_ms)
        self.table.kept_notices.keep(message, now_ms)
        return []

    def _release(self, message, now_ms):
        service = self.find_service(message.permit.service_name)
        self.table.kept_notices.keep_heard(service, message, now_ms)
        return service.release(message, now_ms)

    def _withdraw(self, message, now_ms):
        service = self.find_service(message.service_name)
        return service.withdraw(message.request_id, now_ms)

    def _check_peer_alive(self, message, now_ms):
        return [self.peers.status(message.peer_id, now_ms)]

    def _find_owner(self, message, now_ms):
        failed = (message.service_name, message.failed_ids)
        return [self.owner_paths.substitute(*failed, now_ms)]

    def named_ips(self, host, failure_domain, now_ms):
        """Return the addresses of the VMs that a lookup of a host names.

        A VM that is cut off names those that it heard last in place of itself.
        """
        if self.is_cut_off(now_ms):
            others = self.peers.last_heard_ips(failure_domain)[: self.n_named]
            if others:
                return others
        config = self.routing.config
        service_name = config.main_service(host) if config else None
        return self.peers.ranking.named(
            service_name or host, self.n_named, now_ms, failure_domain
        )

    # The store.

    @property
    def revision(self):
        """The latest revision of the store that this VM has seen."""
        return self.peers.revision

    def _take_targets(self, message, now_ms):
        return self.recovery.handle(message, now_ms) + self._drain_all(now_ms)

    def _apply_update(self, message, now_ms):
        if type(message) is StoreSnapshot:
            self._store.note_answer(now_ms)
            if message.has_targets:
                self.recovery.note_read(now_ms)
        out = self._records.apply(message, now_ms)
        self.watch_scope.note_update()
        return out + self._begin_serving(now_ms) + self._drain_all(now_ms)

    def _begin_serving(self, now_ms):
        return self._store.begin_serving(self.routing.config is not None, now_ms)

    def _drain_all(self, now_ms):
        out = []
        for service in self.services.values():
            if service.waiting:
                service.is_awaiting_targets = self._target_wait.is_awaiting(now_ms)
                out += service.drain(now_ms)
        return out

    def _note_config(self, record, now_ms):
        """Keep a new configuration for the peers, and announce it to them."""
        self.config_raw = record.raw
        if self.watch_scope.scope != WATCH_NOTHING:
            # Peers that watch nothing learn of the new version from heartbeats.
            self.peers.expedite_local()
            self._next_round_ms = now_ms

    def _note_store_unavailable(self, message, now_ms):
        return self._store.note_unavailable(message.detail, now_ms)

    def _note_store_available(self, message, now_ms):
        self.recovery.note_store_available(now_ms)
        return self._store.note_available(now_ms)

    # Peers and time.

    def _note_heartbeat(self, heartbeat, now_ms):
        out = []
        if self.peers.is_new_start(heartbeat):
            out += self.peer_failures.forget(heartbeat.ip)
        out += self._store.checks.note_heartbeat(heartbeat, now_ms)
        out += self.peers.note_heartbeat(heartbeat, now_ms)
        if heartbeat.config_version > self.routing.version:
            self.watch_scope.note_behind(now_ms)
            return out + self._config_fetching.request(heartbeat, now_ms)
        if not heartbeat.is_watching:
            return out
        self._records.note_peer(heartbeat, now_ms)
        out += self.watch_scope.note_peer_era(heartbeat.era, self.peers.era)
        if self.watch_scope.scope == WATCH_ALL and self.peers.is_behind(heartbeat):
            self._store.note_behind_peer(now_ms)
        return out

    def _tick(self, message, now_ms):
        self.peers.note_own_delay(message.delay_ms, now_ms)
        turn_ms = self.admission.turn_ms(now_ms)
        self.peers.settling.note_delay(max(message.delay_ms, turn_ms), now_ms)
        # Entries of other writers may name any number of other services.
        for name in self._service_names():
            if name in self.services:
                self.services[name].note_owner(now_ms)
        if self.owner_paths.note(self._service_names(), now_ms):
            # The wait so far was for the heartbeats, and this one is for the store.
            self._target_wait.reset()
        self._note_target_wait(now_ms)
        out = self._note_delay(message.delay_ms, now_ms)
        out += self._target_wait.note_cut_off(now_ms)
        out += self.quotas.tick(message.delay_ms, now_ms)
        out += self._begin_serving(now_ms)
        out += self.rollouts.tick(self._store.is_unavailable, now_ms)
        out += self._drain_all(now_ms)
        out += self.room_lending.ask(self._service_names(), now_ms)
        out += self._records.expire(now_ms)
        if now_ms >= self._next_round_ms:
            self._next_round_ms = now_ms + HEARTBEAT_ROUND_MS
            out += self._store.update_watching(now_ms)
            out += self.peers.heartbeat_round(self._service_names(), now_ms)
            self.peer_failures.keep_only(self.peers.peers)
            lacks_owners = self.owner_paths.are_lost
            is_owner = lacks_owners or self._owns_any_service(now_ms)
            out += self._store.update_scope(is_owner, lacks_owners, now_ms)
        out += self._store.tick(now_ms)
        out += self.watch_scope.request_resync(self.revision, now_ms)
        return out + self.recovery.update(self._store.is_unavailable, now_ms)

    def _note_delay(self, delay_ms, now_ms):
        """Note how late a tick was; tell the peers if this VM is overloaded now."""
        out = self.admission.note_tick(now_ms, delay_ms)
        has_changed = self.overload.note_tick(delay_ms, now_ms)
        is_overloaded = self.overload.is_overloaded or self.admission.is_limiting
        if is_overloaded != self.peers.is_overloaded:
            self.peers.set_overloaded(is_overloaded)
            self._next_round_ms = now_ms
        if not has_changed:
            return out
        event = "overloaded" if self.overload.is_overloaded else "keeps up"
        detail = f"delay_ms={self.overload.mean_delay_ms:.0f}"
        return [*out, StateChange("vm", event, self.me.ip, detail)]

    def _owns_any_service(self, now_ms):
        return any(
            self._owns(name, self.me.failure_domain, now_ms)
            for name in self._service_names()
        )

    def _service_names(self):
        config = self.routing.config
        return config.services if config else ()

    def _adopt_retry_limits(self, retry_limits, now_ms):
        """Adopt new limits of retries and hedges, also for existing services."""
        self.retry_limits = retry_limits
        for service in self.services.values():
            service.adopt_retry_limits(retry_limits)
        return []

    def _stop(self, message, now_ms):
        self.peers.is_stopping = True
        heartbeat = self.peers.own_heartbeat(now_ms)
        out = [SendEdgeHeartbeat(ip, heartbeat) for ip in self.peers.peers]
        return [StateChange("peer", "stopping", self.me.ip), *out]
