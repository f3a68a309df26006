"""Assignment of entry VMs to services and orders, and of owners to targets.

These are pure functions of the view and the configuration, so that every VM at the
same epoch computes the same owners without communication.
"""

from .hashing import rank


def serving_set(view, service_name, n_wanted):
    """Return the ids of up to ``n_wanted`` members that serve a service.

    The best ranked member of each failure domain comes first, then the others, so
    that the set spreads over the failure domains. A lookup returns the members in the
    same order.
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

    Each member of the serving set owns at most an equal share of the targets, rounded
    up; within that limit a target goes to the member with the highest hash score.
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
    """Return a dict of member id to its weight in the answer to a lookup.

    The weight is the number of slots of the targets that the member owns. A target
    without declared slots counts as one.
    """
    weights = dict.fromkeys(members, 0)
    for target_id, member_id in owners.items():
        weights[member_id] += spec.targets[target_id].slots or 1
    return weights


def order_primary(view, service_name, serving_set_size, key):
    """Return the id of a key's primary, or None if no member is active."""
    serving = serving_set(view, service_name, serving_set_size)
    return rank(serving, key)[0] if serving else None


def order_holders(view, service_name, spec, key):
    """Return the ids of a key's primary, then of its possible backups by preference.

    VMs in other failure domains than the primary's come first, then members of the
    serving set.
    """
    domains = {m.member_id: m.failure_domain for m in view.active_members()}
    serving = serving_set(view, service_name, spec.serving_set_size)
    if not serving:
        return []
    primary = rank(serving, key)[0]
    others = [m for m in rank(domains, key) if m != primary]

    def preference(member_id):
        is_same_domain = domains[member_id] == domains[primary]
        return is_same_domain, member_id not in serving

    return [primary, *sorted(others, key=preference)]
