"""A sound server of the platform, in threads of the process of a case."""

import socket
import threading
import time

READ_BYTES = 65_536


class Server:
    """One server: it serves a request at a time on a connection.

    ``arrivals`` has the time, the attempt id and the outcome of each request that it
    got: ``runs``, ``full`` or ``other instance``. Requests at work when it ends are
    cut; their ids are in ``cut``.
    """

    def __init__(self, server_id, service, zone, record, n_slots=6, work_s=0.29):
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.record = record
        self.n_slots = n_slots
        self.work_s = work_s
        self.arrivals = []
        self.cut = []
        self._at_work = set()
        self._connections = set()
        self._lock = threading.Lock()
        self._has_ended = False
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(128)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def end(self):
        """End like a process that exits: the system closes all of its sockets."""
        with self._lock:
            self._has_ended = True
            self.cut += sorted(self._at_work)
            self._listener.close()
            for sock in self._connections:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def _serve(self, sock):
        try:
            while self._serve_one(sock):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def _serve_one(self, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            piece = sock.recv(READ_BYTES)
            if not piece:
                return False
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        line, *lines = head.decode("latin-1").split("\r\n")
        pairs = (text.partition(":") for text in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        n_left = int(headers.get("content-length", "0")) - len(body)
        while n_left > 0:
            piece = sock.recv(READ_BYTES)
            if not piece:
                return False
            n_left -= len(piece)
        if line.split()[1] == "/health":
            return self._answer(sock, 200, [f"Instance-Id: {self.server_id}"])
        attempt_id = headers.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt_id}"
        if headers.get("expect-instance", self.server_id) != self.server_id:
            self.note(attempt_id, "other instance")
            return self._answer(sock, 421, [echo, f"Instance-Id: {self.server_id}"])
        with self._lock:
            is_full = len(self._at_work) >= self.n_slots
            if not is_full:
                self._at_work.add(attempt_id)
        self.note(attempt_id, "full" if is_full else "runs")
        if is_full:
            return self._answer(sock, 503, [echo, "Not-Executed: 1"])
        time.sleep(self.work_s)
        with self._lock:
            self._at_work.discard(attempt_id)
            if self._has_ended:
                return False
        seal = f"Server-Seal: 3e1b.07.5a2.290.0.{self.server_id}"
        return self._answer(sock, 200, [echo, seal], f"done {attempt_id}".encode())

    def note(self, attempt_id, outcome):
        """Note the arrival of a request."""
        self.arrivals.append((time.monotonic(), attempt_id, outcome))
        self.record.note(f"server {self.server_id}: {attempt_id} arrives, {outcome}")

    def _answer(self, sock, status, lines, body=b""):
        with self._lock:
            load = f"Server-Load: {len(self._at_work)},0,{self.n_slots},100"
        lines = [f"HTTP/1.1 {status} X", *lines, load, f"Content-Length: {len(body)}"]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return True
