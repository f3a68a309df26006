"""WSGI servers of an edge process that keep track of their open connections."""

from gevent.pywsgi import WSGIServer

from ..http_server import CallerHandler

MS_PER_S = 1000.0


class EdgeHandler(CallerHandler):
    """Serves one connection, which a planned stop may close while it is idle."""

    def handle(self):
        """Register the handler with its server while the connection is open."""
        self.server.open_handlers.add(self)
        self.is_idle = True
        try:
            super().handle()
        finally:
            self.server.open_handlers.discard(self)

    def read_requestline(self):
        """Mark the connection as idle until the next request line arrives.

        The wait is limited by the current maximum idle time.
        """
        self.is_idle = True
        self.socket.settimeout(self.server.idle_ms() / MS_PER_S)
        line = super().read_requestline()
        self.is_idle = False
        return line


def start_server(address, app, stack, idle_ms):
    """Start a server for a WSGI application; the exit stack stops it.

    ``idle_ms`` is a callable that returns the maximum idle time of a connection in
    milliseconds. It is called before each request, so that a new limit applies to open
    connections too.
    """
    host, _, port = address.rpartition(":")
    server = WSGIServer(
        (host, int(port)), app, log=None, error_log=None, handler_class=EdgeHandler
    )
    server.caller_idle_s = idle_ms() / MS_PER_S
    server.idle_ms = idle_ms
    server.open_handlers = set()
    server.start()
    stack.callback(server.stop, timeout=0)
    return server


def close_idle_connections(servers):
    """Close the servers' connections that have no request in progress."""
    for server in servers:
        for handler in list(server.open_handlers):
            if handler.is_idle and handler.socket is not None:
                handler.socket.close()
