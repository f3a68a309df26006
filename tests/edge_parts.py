"""Test helpers: the controllers of one service and entries of its targets."""

from random import Random

from hornbeamstand_core.controllers.load.capacity import ServiceCapacity
from hornbeamstand_core.controllers.targets.target_table import TargetTable
from hornbeamstand_core.discovery import READY, TargetEntry
from hornbeamstand_core.edge_messages import (
    FIRST,
    AcquireSlot,
    LoadReport,
)
from hornbeamstand_core.edge_node_messages import RetryLimits
from hornbeamstand_core.load_probe_messages import LoadProbeResult, ProbesNeeded
from hornbeamstand_core.messages import Permit, Release, UpstreamResponse
from hornbeamstand_core.routes import ServiceRules

RETRY_LIMITS = RetryLimits(0.2, 50.0, 10_000.0, 1)


def make_entry(
    name,
    domain="a",
    n_slots=3,
    state=READY,
    cold_remaining_ms=0.0,
    started_wall_ms=1,
    sequence=0,
):
    """Return the discovery entry of one target.

    ``name`` is a letter and the number with which the target's address ends.
    """
    return TargetEntry(
        f"servers/{name}",
        name,
        "shop",
        f"10.0.0.{name[1:]}:80",
        domain,
        n_slots,
        state,
        cold_remaining_ms,
        started_wall_ms,
        sequence,
    )


class ServiceHarness:
    """One service and its target table, on a virtual clock.

    ``is_owner`` is whether this VM is the service's owner. A target's cold start lasts
    3 s, and during it the target may be sent 3 requests a second.
    """

    def __init__(self, entries=(), is_owner=True, retry_limits=RETRY_LIMITS):
        self.now_ms = 0.0
        self.n_requests = 0
        self.is_owner = is_owner
        self.n_vms = 1
        self.other_owners = []
        self.service = ServiceCapacity(
            "shop",
            "a",
            Random(1),
            retry_limits,
            lambda *_: self.is_owner,
            lambda: self.n_vms,
            lambda *_: self.other_owners,
        )
        self.service.rules = ServiceRules("shop", "/health", 100, 3000.0, 3.0)
        self.table = TargetTable(lambda name: self.service)
        self.table.replace_all(list(entries), self.now_ms)

    def acquire(self, kind=FIRST, request_id=None, n_probe_rounds=2, **values):
        """Request a slot; returns the reply, or None if the request is queued.

        ``values`` replace the defaults of the message's other fields. The times
        ``deadline_ms`` and ``objective_ms`` are counted from now.
        """
        self.n_requests += 1
        request_id = request_id or f"r{self.n_requests}"
        message = self.make_acquire(request_id, kind, n_probe_rounds, **values)
        return self.first_reply(self.service.acquire(message, self.now_ms))

    def make_acquire(self, request_id, kind=FIRST, n_probe_rounds=2, **values):
        """Return the message that requests a slot; see ``acquire``."""
        return AcquireSlot(
            "shop",
            request_id,
            f"{request_id}#{kind}",
            kind,
            values.get("is_idempotent", True),
            values.get("priority", 1),
            self.now_ms + values.get("deadline_ms", 2000.0),
            self.now_ms + values.get("objective_ms", 600.0),
            values.get("excluded_ids", ()),
            n_probe_rounds,
            values.get("objective_ms", 600.0),
        )

    def first_reply(self, messages):
        """Return the reply of the first DeferredReply message, or None."""
        for message in messages:
            if hasattr(message, "reply"):
                return message.reply
        return None

    def release(self, permit, status=200, report=None, did_not_run=False):
        """Release a permit with a response; returns the resulting messages."""
        response = UpstreamResponse(status, None, report, did_not_run)
        return self.service.release(Release(permit, response), self.now_ms)

    def report_load(self, name, slowdown, n_running=0):
        """Deliver the result of a load probe that got a target's load figures."""
        report = LoadReport(n_running, 0, 3, slowdown)
        return self.service.note_load(
            LoadProbeResult("shop", name, report), self.now_ms
        )

    def report_no_load(self, name, is_answered=True):
        """Deliver the result of a load probe that got no load figures.

        ``is_answered`` is whether the target answered the probe at all.
        """
        result = LoadProbeResult("shop", name, None, is_answered)
        return self.service.note_load(result, self.now_ms)


def is_permit(reply):
    """Return whether a reply is a permit."""
    return isinstance(reply, Permit)


def needs_probes(reply):
    """Return whether a reply asks for load probes before a slot is granted."""
    return isinstance(reply, ProbesNeeded)
