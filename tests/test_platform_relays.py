"""Requests that one VM relays to another, which may be frozen or end connections."""

import gevent
import msgspec
from gevent import socket as gevent_socket
from hornbeamstand_entry.edge.config_copies import COPY_PATH
from hornbeamstand_entry.edge.servers import PEER_REUSE_MS

from standins.edge_cell import EdgeCell

PREFIXES = {"/tools/": ("shop", "idempotent"), "/orders/": ("shop", "non_idempotent")}
COPY_REQUEST = f"GET {COPY_PATH} HTTP/1.1\r\nHost: peer\r\n\r\n".encode()
STATUS_LINE = b"HTTP/1.1 200 OK"


def shorten_idle_time(cell):
    """Publish the configuration once more, with a shorter IdleTimeout."""
    raw = msgspec.json.decode(cell.store.items["op/config"].value)
    raw["Limits"]["IdleTimeout"] = "100ms"
    cell.store.put("op/config", {**raw, "Version": "r2"})


def test_a_connection_that_a_peer_still_uses_is_not_ended(tmp_path):
    """Guards against a relayed request that crosses the end of its connection."""
    with EdgeCell(tmp_path, n_vms=1) as cell:
        cell.add_server("shop-0")
        cell.set_config(1, PREFIXES)
        shorten_idle_time(cell)
        cell.start_all()
        vm = cell.vms[0]
        with gevent_socket.create_connection((vm.ip, vm.ports["peer"]), 2.0) as sock:
            for _ in range(2):
                sock.sendall(COPY_REQUEST)
                assert sock.recv(65536).startswith(STATUS_LINE)
                gevent.sleep((PEER_REUSE_MS + 100.0) / 1000.0)
