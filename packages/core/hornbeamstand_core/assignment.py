"""Which entry VMs serve a service and which of them owns each target.

Pure functions of the view and the configuration, so that every VM at the same
epoch computes the same owners without a message.
"""

from .hashing import rank


def serving_set(view, service_name, n_wanted):
    """Return the ids of the serving set, in lookup order.

    Members of failure domains not used yet go first.
    """
    domains = {m.member_id: m.failure_domain for m in view.active_members()}
    ranked = rank(domains, service_name)
    chosen = []
    used_domains = set()
    for member_id in ranked:
        if domains[member_id] not in used_domains:
            chosen.append(member_id)
            used_domains.add(domains[member_id])
    chosen += [member_id for member_id in ranked if member_id not in chosen]
    return chosen[:n_wanted]


def assign_owners(view, service_name, spec):
    """Return a dict of target id to owner id.

    Each owner gets an equal share, rounded up; within that a target goes to the
    member with the highest weight for it.
    """
    members = serving_set(view, service_name, spec.serving_set_size)
    if not members:
        return {}
    quota = -(-len(spec.targets) // len(members))
    n_owned = dict.fromkeys(members, 0)
    owners = {}
    for target_id in sorted(spec.targets):
        for member_id in rank(members, f"{service_name}/{target_id}"):
            if n_owned[member_id] < quota:
                owners[target_id] = member_id
                n_owned[member_id] += 1
                break
    return owners


def lookup_weights(owners, spec, members):
    """Return a dict of member id to its share of the slots, by owner."""
    weights = dict.fromkeys(members, 0)
    for target_id, member_id in owners.items():
        weights[member_id] += spec.targets[target_id].slots or 1
    return weights
