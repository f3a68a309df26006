"""The HTTP endpoints for operators: status and metrics."""

import resource

from hornbeamstand_core.controllers.owned_targets.target_state import EJECTED
from hornbeamstand_core.messages import Refusal

from .process_use import read_process_gauges
from .responses import respond_json, respond_refusal


def make_admin_app(process):
    """Return the WSGI application of the admin address."""

    def app(environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/status":
            return respond_json(start_response, 200, make_status(process))
        if path == "/metrics":
            set_gauges(process)
            body = process.metrics.render()
            content_type = ("Content-Type", "text/plain; version=0.0.4")
            start_response("200 OK", [content_type, ("Content-Length", str(len(body)))])
            return [body]
        refusal = Refusal("unknown path", status=404, step="admin")
        return respond_refusal(start_response, refusal, [])

    return app


def make_status(process):
    """Return the status of this VM, which ``hornbeamctl status`` shows."""
    node = process.node
    now_ms = process.clock.now_ms()
    ownership = node.ownership
    return {
        "vm_id": process.settings.vm_id,
        "member_id": node.balancer.member_id,
        "phase": node.stopping.phase,
        "config_version": ownership.configuration.version,
        "view_version": ownership.view.version,
        "members": {
            member.member_id: member.state for member in ownership.view.members.values()
        },
        "may_dispatch_for_ms": max(
            0.0, node.membership.fence_end_at_ms(now_ms) - now_ms
        ),
        "platform": node.membership.platform_ok_since_ms is not None,
        "pending": sorted(ownership.pending),
        "n_orders": len(process.orders_task.book),
        "services": {
            name: service_status(service, now_ms)
            for name, service in node.balancer.services.items()
        },
    }


def service_status(service, now_ms):
    """Return the queue length of a service and the state of the targets owned here."""
    targets = {}
    for target_id, state in service.targets.items():
        targets[target_id] = {
            "phase": state.phase if now_ms >= state.ejected_until_ms else EJECTED,
            "is_open": state.is_open,
            "limit": round(state.limit, 2),
            "n_in_flight": state.n_in_flight,
            "n_dispatched": state.n_dispatched,
            "latency_ms": round(state.latency_ms or 0.0, 3),
        }
    return {"n_waiting": len(service.queue), "targets": targets}


def set_gauges(process):
    """Set the gauges to their current values, before the metrics are rendered."""
    gauge = process.metrics.set_gauge
    usage = resource.getrusage(resource.RUSAGE_SELF)
    gauge("processor_s", usage.ru_utime + usage.ru_stime)
    for name, value in read_process_gauges().items():
        gauge(name, value)
    gauge("peer_sent_bytes", process.datagrams.n_bytes_sent)
    gauge("peer_sent_datagrams", process.datagrams.n_sent)
    gauge("probes_sent", process.prober.n_sent)
    gauge("orders_kept", len(process.orders_task.book))
    gauge("requests_inside", process.control_task.n_requests)
    gauges = process.relief.gauges() | process.pools.rules.reads.gauges()
    for name, read in gauges.items():
        gauge(name, read())
    for role, elapsed_ms in process.control_task.control_ms.items():
        gauge("control_s", elapsed_ms / 1000.0, role=role)
    for name, service in process.node.balancer.services.items():
        gauge("waiting", len(service.queue), service=name)
        for target_id, state in service.targets.items():
            gauge("target_limit", state.limit, service=name, target=target_id)
            gauge("in_flight", state.n_in_flight, service=name, target=target_id)
