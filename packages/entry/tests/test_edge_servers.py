"""The HTTP servers of an edge process."""

from contextlib import ExitStack

import gevent
from hornbeamstand_core.routes import CallerLimits
from hornbeamstand_entry.edge.servers import start_server


class NoResolver:
    """A resolver that notes each look-up and finds nothing."""

    def __init__(self):
        self.lookups = []

    def __getattr__(self, name):
        def look_up(*args, **values):
            self.lookups.append((name, args))
            raise OSError("name look-ups are not available")

        return look_up


def test_a_server_starts_without_a_name_lookup(monkeypatch):
    """Guards against a start that waits for a name server's timeout of 5 s."""
    resolver = NoResolver()
    monkeypatch.setattr(gevent.get_hub(), "resolver", resolver)
    limits = CallerLimits()
    with ExitStack() as stack:
        server = start_server(
            "127.0.0.1:0", None, stack, lambda: limits.idle_ms, lambda: limits
        )
        assert server.get_environ()["SERVER_NAME"] == "127.0.0.1"
    assert resolver.lookups == []
