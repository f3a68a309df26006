"""What connections and requests cost in memory, besides bodies."""

# Memory of an open connection: its greenlet, handler, socket and read buffer, with a
# head that is arriving.
CONNECTION_BYTES = 32_768
# Size of a head in arrival that is part of the cost of its connection.
HEAD_FREE_BYTES = 8192
# Memory of a request that is being served, memory of each line of its head, and maximum
# number of copies of its head: as it was read, for the application, and as it is sent.
REQUEST_BYTES = 16_384
HEADER_LINE_BYTES = 512
N_HEAD_COPIES = 4


def request_cost_bytes(n_header_lines, n_head_bytes):
    """Return the memory of a request whose head has arrived."""
    n_line_bytes = HEADER_LINE_BYTES * n_header_lines
    return REQUEST_BYTES + n_line_bytes + N_HEAD_COPIES * n_head_bytes
