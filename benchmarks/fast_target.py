"""Runs a target that answers at once, or a bare relay to compare an entry VM with.

Run as ``python -m benchmarks.fast_target target ADDRESS`` or
``python -m benchmarks.fast_target relay ADDRESS TARGET``.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from gevent.pywsgi import WSGIServer  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402

from standins.target import NoDelayHandler  # noqa: E402

BODY = b'{"state": "ready for pick-up"}'
# Maximum number of connections from the relay to the target.
N_RELAY_CONNECTIONS = 256


def target_app(environ, start_response):
    """Answer a request at once."""
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(BODY))),
        ("Hornbeam-State", "ready"),
        ("Hornbeam-Start-Id", "1"),
    ]
    start_response("200 OK", headers)
    return [BODY]


def make_relay_app(target):
    """Return a WSGI application that relays requests to a target and does no more."""
    host, _, port = target.rpartition(":")
    client = HTTPClient(host, int(port), concurrency=N_RELAY_CONNECTIONS)

    def app(environ, start_response):
        answer = client.request(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        body = bytes(answer.read())
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    return app


def main(arguments):
    """Serve as a target or as a relay until the process is killed."""
    kind, address = arguments[:2]
    app = target_app if kind == "target" else make_relay_app(arguments[2])
    host, _, port = address.rpartition(":")
    server = WSGIServer((host, int(port)), app, log=None, handler_class=NoDelayHandler)
    server.serve_forever()


if __name__ == "__main__":
    main(sys.argv[1:])
