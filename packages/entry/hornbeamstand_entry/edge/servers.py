"""The WSGI servers of an edge process, and the connections that they hold."""

from gevent.pywsgi import WSGIServer

from ..http_server import CallerHandler

MS_PER_S = 1000.0


class EdgeHandler(CallerHandler):
    """Serves one connection and lets a planned stop close it while idle."""

    def handle(self):
        """Keep the server's set of open connections up to date."""
        self.server.open_handlers.add(self)
        self.is_idle = True
        try:
            super().handle()
        finally:
            self.server.open_handlers.discard(self)

    def read_requestline(self):
        """Mark the connection as busy once a request begins."""
        self.is_idle = True
        self.socket.settimeout(self.server.idle_ms() / MS_PER_S)
        line = super().read_requestline()
        self.is_idle = False
        return line


def start_server(address, app, stack, idle_ms):
    """Listen and serve an application; the stack ends it.

    ``idle_ms`` returns how long a connection may stay idle.
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
    """Close the callers' connections that carry no request."""
    for server in servers:
        for handler in list(server.open_handlers):
            if handler.is_idle and handler.socket is not None:
                handler.socket.close()
