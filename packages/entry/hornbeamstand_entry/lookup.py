"""Answers lookups: the addresses of the VMs that serve a service."""

from hornbeamstand_core.assignment import lookup_weights
from hornbeamstand_core.messages import Refusal

from .responses import respond_json, respond_refusal


def answer_lookup(node, name, start_response):
    """Answer a lookup with the serving set, its weights and the time to live.

    The weight of a VM is the number of slots of the targets that it owns. The status is
    404 if the service is unknown, and 503 if no VM serves it.
    """
    ownership = node.ownership
    spec = ownership.configuration.services.get(name)
    if spec is None:
        refusal = Refusal("unknown service", status=404, step="lookup", peer=name)
        return respond_refusal(start_response, refusal, [])
    members = ownership.serving_sets.get(name, ())
    weights = lookup_weights(ownership.owners.get(name, {}), spec, members)
    addresses = []
    for member_id in members:
        member = node.membership.view.members[member_id]
        addresses.append(
            {
                "address": member.front_address,
                "failure_domain": member.failure_domain,
                "weight": weights[member_id],
            }
        )
    body = {
        "service": name,
        "ttl_ms": spec.lookup_ttl_ms,
        "addresses": addresses,
        "view_version": ownership.view.version,
        "config_version": ownership.configuration.version,
    }
    status = 200 if addresses else 503
    return respond_json(start_response, status, body)
