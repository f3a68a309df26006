"""A process serves on a host that lacks what it can do without, and names that."""

import errno
import json
import socket

import pytest
from hornbeamstand_entry.tasks.connection_rules import ConnectionRules
from hornbeamstand_entry.tasks.sockets import set_options

from .programs import PROGRAMS

MISSING = ["TCP_USER_TIMEOUT", "TCP_INFO", "CLOCK_BOOTTIME"]
# Takes names from a Python that was built for a host without them.
HOOK = """
import socket, time
socket.__all__ = [name for name in socket.__all__ if name not in {missing}]
for module in (socket, time):
    for name in {missing}:
        module.__dict__.pop(name, None)
"""


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_process_serves_without_what_its_host_lacks(program, tmp_path, monkeypatch):
    (tmp_path / "sitecustomize.py").write_text(HOOK.format(missing=MISSING))
    with PROGRAMS[program](tmp_path) as vm:
        monkeypatch.setenv("PYTHONPATH", str(tmp_path))
        vm.start()
        vm.assert_serves()
        vm.wait_for_line("host lacks features")
        [line] = [line for line in vm.log().splitlines() if "host lacks" in line]
        assert json.loads(line)["missing"] == MISSING


class RefusingSocket:
    """Refuses each option with an error; ``n_refused`` counts them."""

    def __init__(self, number):
        self.number = number
        self.n_refused = 0

    def setsockopt(self, level, *_):
        if level == socket.IPPROTO_TCP:
            self.n_refused += 1
            raise OSError(self.number, "refused")


RULES = ConnectionRules(tcp_user_timeout_ms=1500, keepalive_s=1)


@pytest.mark.parametrize("number", [errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPERM])
def test_a_connection_does_without_options_that_its_host_lacks(number):
    sock = RefusingSocket(number)
    set_options(sock, RULES)
    assert sock.n_refused == 5


def test_a_connection_that_is_broken_is_still_an_error():
    with pytest.raises(OSError):
        set_options(RefusingSocket(errno.EINVAL), RULES)
