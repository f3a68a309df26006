"""Asks entry VMs for their status and prints it."""

import msgspec
from geventhttpclient import HTTPClient

STATUS_TIMEOUT_S = 2.0


def fetch_status(address):
    """Return a VM's status, or None if it does not answer."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=STATUS_TIMEOUT_S,
        network_timeout=STATUS_TIMEOUT_S,
    )
    try:
        return msgspec.json.decode(client.get("/status").read())
    except Exception:
        # Sockets, the HTTP parser and the pool each raise their own types.
        return None
    finally:
        client.close()


def describe_status(address, status):
    """Return the lines that describe one VM."""
    if status is None:
        return [f"{address}: no answer"]
    lines = [
        f"{status['vm_id']} ({address}): {status['phase']},"
        f" configuration {status['config_version']},"
        f" view {status['view_version']} with {len(status['members'])} members,"
        f" platform {'up' if status['platform'] else 'down'},"
        f" may dispatch for {status['may_dispatch_for_ms']:.0f} ms"
    ]
    for name, service in sorted(status["services"].items()):
        for target_id, target in sorted(service["targets"].items()):
            lines.append(
                f"  {name}/{target_id}: {target['phase']},"
                f" {target['n_in_flight']} of {target['limit']:g} in flight,"
                f" {target['latency_ms']:g} ms"
            )
    return lines
