"""Fetches the status of entry VMs and describes it in text."""

import msgspec
from geventhttpclient import HTTPClient

# Timeout for connecting to a VM, and for each read of its answer.
STATUS_TIMEOUT_S = 2.0
# Status of the answer that holds a VM's status.
STATUS_OK = 200


def fetch_status(address):
    """Return the status of a VM, or None if no valid answer came."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=STATUS_TIMEOUT_S,
        network_timeout=STATUS_TIMEOUT_S,
    )
    try:
        response = client.get("/status")
        if response.status_code != STATUS_OK:
            return None
        return msgspec.json.decode(response.read())
    except Exception:
        # The socket, the HTTP parser and the pool each raise exceptions of their own.
        return None
    finally:
        client.close()


def describe_status(address, status):
    """Return lines that describe the status of one VM."""
    if status is None:
        return [f"{address}: no valid answer (timeout {STATUS_TIMEOUT_S:g} s)"]
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
