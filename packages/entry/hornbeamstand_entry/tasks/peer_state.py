"""Fetches a newer view or configuration from a peer by gRPC, and serves this VM's."""

import errno
import os
from concurrent.futures import ThreadPoolExecutor

import grpc
import grpc.experimental.gevent
import msgspec
from hornbeamstand_core.controllers.node import AdoptView
from hornbeamstand_wire.json_text import decode_json
from hornbeamstand_wire.view_codec import view_from_value, view_to_value

from .. import peer_pb2, peer_pb2_grpc
from ..edge.descriptors import N_DESCRIPTORS_WANTED, raise_soft_limit
from ..life.addresses import make_address_error
from ..life.program import StartError
from .config_watcher import PeerFiles
from .task import Task

# Timeout of one FetchState call.
FETCH_TIMEOUT_MS = 1000.0
# Number of threads that serve FetchState calls.
N_SERVER_WORKERS = 4
# Maximum number of FetchState calls at a time, above which a peer is refused.
N_CALLS_MAX = 64
# Share of the descriptors for connections of peers to this server.
CONNECTIONS_SHARE = 1 / 16
# No other server may listen at the address of this one. A request has two numbers. A
# connection that begins no HTTP/2 in time, or carries no call for longer, is closed.
# Little of a request is read ahead: memory for it is in no budget.
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", 1024),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 16_384),
    ("grpc.server_handshake_timeout_ms", 2000),
    ("grpc.max_connection_idle_ms", 10_000),
)


def init_grpc():
    """Make grpcio cooperate with gevent.

    It must be called once, before the first channel or server is created.
    """
    grpc.experimental.gevent.init_gevent()


def open_peer_server(address):
    """Return a gRPC server that listens at an address, but does not serve yet.

    Raises AddressError, which is temporary: the caller has bound the address before.
    """
    n_descriptors = min(raise_soft_limit(N_DESCRIPTORS_WANTED), N_DESCRIPTORS_WANTED)
    n_connections_max = max(1, int(CONNECTIONS_SHARE * n_descriptors))
    server = grpc.server(
        ThreadPoolExecutor(N_SERVER_WORKERS),
        options=(
            *SERVER_OPTIONS,
            ("grpc.max_allowed_incoming_connections", n_connections_max),
        ),
        maximum_concurrent_rpcs=N_CALLS_MAX,
    )
    try:
        server.add_insecure_port(address)
    except RuntimeError as error:
        server.stop(None)
        taken = OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        raise make_address_error(address, taken) from error
    return server


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Serves FetchState from the current state of this VM."""

    def __init__(self, node, config_watcher):
        self.node = node
        self.config_watcher = config_watcher

    def FetchState(self, request, context):
        """Return the view and the configuration files that the peer lacks."""
        state = peer_pb2.State()
        view = self.node.membership.view
        state.view_version = view.version
        if view.version > request.view_version:
            state.view_json = msgspec.json.encode(view_to_value(view))
        state.config_version = self.config_watcher.version
        if self.config_watcher.version > request.config_version:
            state.config_files.update(self.config_watcher.texts)
        return state


class PeerStateFetcher:
    """Serves FetchState to peers, and fetches their state with one call at a time.

    Parameters
    ----------
    node : Node
        Read for the current view.
    control_task, config_watcher : task objects
        Take the fetched view and the fetched files.
    log : structlog logger
        Logs failed calls.
    """

    __slots__ = ("node", "control_task", "config_watcher", "log", "task", "_channels")

    def __init__(self, node, control_task, config_watcher, log):
        self.node = node
        self.control_task = control_task
        self.config_watcher = config_watcher
        self.log = log
        self.task = Task("peer fetch")
        self._channels = {}

    def post(self, message):
        """Put a FetchPeerState into the task's mailbox."""
        self.task.post(message)

    def start(self, server, stack):
        """Start to serve the state of this VM and to fetch that of peers.

        ``server`` is that of ``open_peer_server``. Raises StartError if the system
        gives the process no thread for it.
        """
        servicer = PeerServicer(self.node, self.config_watcher)
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, server)
        try:
            server.start()
        except RuntimeError as error:
            address = self.node.membership.me.peer_address
            raise StartError("peer.start", address, str(error)) from error
        stack.callback(server.stop, None)
        stack.callback(self._close)
        self.task.start(self._run, stack)

    def _close(self):
        for channel in self._channels.values():
            channel.close()

    def _run(self):
        while True:
            message = self.task.mailbox.get()
            self._fetch(message.address)
            self._drop_duplicates(message)

    def _drop_duplicates(self, message):
        # While a fetch is running, every heartbeat of the same peer requests another.
        mailbox = self.task.mailbox
        while not mailbox.empty() and mailbox.peek().address == message.address:
            mailbox.get()

    def _fetch(self, address):
        view_version = self.node.membership.view.version
        request = peer_pb2.StateRequest(
            view_version=view_version, config_version=self.config_watcher.version
        )
        try:
            stub = peer_pb2_grpc.PeerStub(self._channel(address))
            state = stub.FetchState(request, timeout=FETCH_TIMEOUT_MS / 1000.0)
        except grpc.RpcError as error:
            detail = (
                f"{error.code().name}: {error.details()}"
                f" (timeout {FETCH_TIMEOUT_MS:.0f} ms)"
            )
            self.log.warning("peer: fetch failed", peer=address, error=detail)
            return
        if state.view_version > view_version:
            self._adopt_view(address, state.view_json)
        if state.config_version > self.config_watcher.version:
            files = PeerFiles(state.config_version, dict(state.config_files))
            self.config_watcher.task.post(files)

    def _adopt_view(self, address, view_json):
        try:
            view = view_from_value(decode_json(view_json))
        except ValueError as error:
            detail = f"the view is malformed: {error}"
            self.log.warning("peer: fetch failed", peer=address, error=detail)
            return
        self.control_task.task.post(AdoptView(view))

    def _channel(self, address):
        if address not in self._channels:
            self._channels[address] = grpc.insecure_channel(address)
        return self._channels[address]
