"""Which peers a VM asks for the targets that it can't read from the store."""

from ..peers.candidates import is_serving_on

# Maximum number of peers that are asked in one round.
N_ASKED_MAX = 6


def target_sources(view, n_rounds, now_ms):
    """Return the addresses of the peers to ask, the one that should be asked first.

    Peers that are heard come before VMs that were heard earlier, preferred ones first,
    because they hold the targets: first those that reach the store, and those of this
    failure domain before others. One
    that stops still answers. Each later round begins with peers that were not asked in
    the one before.

    Parameters
    ----------
    view : PeerView
        The peers and contacts of this VM.
    n_rounds : int
        Number of earlier rounds without success.
    now_ms : float
        The local time.
    """
    heard = [
        peer.heartbeat
        for peer in view.peers.values()
        if peer.heartbeat.is_serving and not view.is_silent(peer, now_ms)
    ]
    heard_ips = {heartbeat.ip for heartbeat in heard}
    earlier = [
        contact.last_heartbeat
        for ip, contact in view.contacts.items()
        if contact.last_heartbeat is not None and ip not in heard_ips
    ]
    earlier = [item for item in earlier if is_serving_on(item)]
    domain = view.me.failure_domain

    def sort_key(heartbeat):
        is_current = heartbeat.is_preferred and heartbeat.is_watching
        is_remote = heartbeat.failure_domain != domain
        return not is_current, not heartbeat.is_preferred, is_remote

    ips = [item.ip for item in sorted(heard, key=sort_key)]
    ips += [item.ip for item in sorted(earlier, key=sort_key)]
    if not ips:
        return []
    first = n_rounds * N_ASKED_MAX % len(ips)
    return (ips[first:] + ips[:first])[:N_ASKED_MAX]


def watching_sources(view, now_ms):
    """Return the addresses of peers that hold the targets and reach the store.

    Those of this failure domain come first.
    """
    domain = view.me.failure_domain
    heartbeats = [
        peer.heartbeat
        for peer in view.peers.values()
        if peer.heartbeat.is_watching
        and peer.heartbeat.is_preferred
        and not view.is_silent(peer, now_ms)
    ]
    heartbeats.sort(key=lambda item: item.failure_domain != domain)
    return [item.ip for item in heartbeats][:N_ASKED_MAX]
