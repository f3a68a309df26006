"""Case 8: an answer without a length is reset while a timer of its request ends."""

import os
import random
import socket
import struct
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import servers_2  # noqa: E402
import stand_ins_2 as s  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
N_SERVERS = 14
# The servers and their answers that are reset, and for how long at a time.
SERVERS_SHARE = 0.6
ANSWERS_SHARE = 0.4
RESETS_S = 4.0
PAUSE_S = 1.5
N_ROUNDS = 15
# Reads a second. tubo-lookup gets 66 of them at quispe-gateway.
READS_PER_S = 60.0
# Half of the route's goal of 600 ms, give or take 2 ms.
WORK_S = (0.298, 0.302)
BODY = bytes(range(256)) * 20
N_FIRST_BYTES = 2500
# With this option the close of a socket resets its connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Reset:
    """Whether answers are reset now, and which were."""

    def __init__(self):
        self.is_on = False
        self.ids = set()


class OpenEndedServer(servers_2.Server):
    """A server whose answers end with their connection."""

    reset = Reset()
    is_hit = False
    rng = random.Random(8)

    def _answer(self, sock, status, lines, body=b""):
        if not body:
            return super()._answer(sock, status, lines, body)
        time.sleep(self.rng.uniform(*WORK_S))
        attempt_id = lines[0].split()[-1]
        lines = [f"HTTP/1.1 {status} X", *lines, "Server-Load: 1,0,6,100"]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if not (self.reset.is_on and self.is_hit and self.rng.random() < ANSWERS_SHARE):
            sock.sendall(head + BODY)
            return False
        self.record.note(f"server {self.server_id}: answer to {attempt_id} is reset")
        self.reset.ids.add(attempt_id)
        sock.sendall(head + BODY[:N_FIRST_BYTES])
        time.sleep(self.rng.uniform(0.0, 0.0005))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        return False


def read(cell, i, outcomes, record):
    """Send one read on a new connection, and note its answer."""
    attempt_id = f"9c41d07be2a5{i:04x}"
    head = (
        f"GET /lepu270/2f HTTP/1.1\r\nHost: {s.HOST}\r\nAttempt-Id: {attempt_id}\r\n"
        "Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
    )
    record.note(f"client: sends {attempt_id}")
    try:
        with socket.create_connection(cell.front(i % 3), 2.0) as sock:
            sock.settimeout(3.0)
            sock.sendall(head.encode())
            answer = s.read_answer(sock)
    except OSError as error:
        answer = s.Answer(0, {}, b"", repr(error))
    outcome = answer.status
    if answer.status == 200 and answer.body != BODY:
        outcome = "200 with a part of the body"
        record.note(
            f"client: {attempt_id} gets 200, Server-Seal"
            f" {answer.headers.get('server-seal')}, Content-Length"
            f" {answer.headers.get('content-length')}, {len(answer.body)} of"
            f" {len(BODY)} bytes; its answer was reset:"
            f" {attempt_id in OpenEndedServer.reset.ids}"
        )
    else:
        record.note(f"client: {attempt_id} gets {answer.status} {answer.detail}")
    outcomes[outcome] += 1


def send_reads(cell, seconds, first, outcomes, record):
    """Send reads for a time; return the number of the next one."""
    threads = []
    began_at_s = time.monotonic()
    n_reads = int(seconds * READS_PER_S)
    for i in range(n_reads):
        thread = threading.Thread(target=read, args=(cell, first + i, outcomes, record))
        thread.start()
        threads.append(thread)
        time.sleep(max(0.0, began_at_s + i / READS_PER_S - time.monotonic()))
    for thread in threads:
        thread.join()
    return first + n_reads


def play(record, stack):
    """Return the exit status."""
    store = s.Store()
    store.start(stack)
    store.put("op/config", s.make_config(7, {"/lepu270/": ("huvo11a", {})}))
    n_hit = int(SERVERS_SHARE * N_SERVERS)
    for i in range(N_SERVERS):
        server = OpenEndedServer(f"i-80{i:06x}", "huvo11a", s.ZONES[i % 3], record)
        server.is_hit = i < n_hit
        server.work_s = 0.0
        stack.callback(server.end)
        entry = s.make_entry(server.address, "huvo11a", server.zone)
        store.put(f"servers/{server.server_id}", entry)
    cell = s.Cell(stack, store)
    cell.start()
    time.sleep(4.0)
    outcomes = Counter()
    first = 0
    for _ in range(N_ROUNDS):
        OpenEndedServer.reset.is_on = HAS_TROUBLE
        first = send_reads(cell, RESETS_S, first, outcomes, record)
        OpenEndedServer.reset.is_on = False
        first = send_reads(cell, PAUSE_S, first, outcomes, record)
    n_broken = outcomes["200 with a part of the body"]
    record.note(f"{len(OpenEndedServer.reset.ids)} answers reset; outcomes {outcomes}")
    if outcomes[200] < 0.5 * sum(outcomes.values()):
        return s.COULD_NOT_RUN
    return s.BROKEN if n_broken else s.HELD


s.run_case(FOLDER, play)
