"""Finds the VM process that opened a connection on loopback.

The socket is looked up through the netlink protocol of the system (sock_diag).
"""

import os
import socket
import struct

# Values of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ANY_STATE = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
# Header of a message: length, type, flags, sequence number, port.
HEADER = struct.Struct("=IHHII")
# Family, protocol, two unused bytes and the states of a request.
REQUEST = struct.Struct("=BBBBI")
# Ports and addresses of both ends of a socket, its interface and its cookie.
SOCKET_ENDS = struct.Struct("!HH16s16s")
SOCKET_REST = struct.Struct("=III")
INODE = struct.Struct("=I")
# Offset of the inode in a response: after its header, four bytes, the description of
# the socket (48 bytes) and four figures of four bytes.
INODE_OFFSET_BYTES = HEADER.size + 4 + 48 + 16
RESPONSE_MAX_BYTES = 8192


def find_owner(vms, client_address, server_address):
    """Return the VM whose process owns the client's end of a connection, or None.

    Both addresses are (host, port). A socket that was closed meanwhile has no owner.
    """
    inode = find_inode(client_address, server_address)
    for vm in vms:
        if inode is not None and owns_socket(vm.process.pid, inode):
            return vm
    return None


def find_inode(client_address, server_address):
    """Return the inode of the client's socket of an IPv4 connection, or None."""
    body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE)
    body += SOCKET_ENDS.pack(
        client_address[1],
        server_address[1],
        socket.inet_aton(client_address[0]),
        socket.inet_aton(server_address[0]),
    )
    body += SOCKET_REST.pack(0, NO_COOKIE, NO_COOKIE)
    length_bytes = HEADER.size + len(body)
    head = HEADER.pack(length_bytes, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.send(head + body)
        response = sock.recv(RESPONSE_MAX_BYTES)
    _, kind, *_ = HEADER.unpack_from(response)
    if kind != SOCK_DIAG_BY_FAMILY:
        return None
    return INODE.unpack_from(response, INODE_OFFSET_BYTES)[0]


def owns_socket(process_id, inode):
    """Return whether a process has a descriptor of a socket."""
    folder = f"/proc/{process_id}/fd"
    try:
        links = (os.readlink(f"{folder}/{name}") for name in os.listdir(folder))
        return f"socket:[{inode}]" in links
    except OSError:
        # The process or a descriptor of it is gone.
        return False
