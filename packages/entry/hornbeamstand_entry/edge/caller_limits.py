"""Limits of requests and connections, by the configuration in force."""

from hornbeamstand_core.routes import CallerLimits

# Time for which callers' connections may be idle beyond the limit that callers are
# told, so that no connection is closed while a request is on its way.
IDLE_MARGIN_MS = 2000.0
# Least limit of the headers of a request that another VM relays.
RELAYED_HEADER_MIN_BYTES = 1 << 20


def caller_limits(routing):
    """Return the CallerLimits in force."""
    return routing.config.limits if routing.config else CallerLimits()


def caller_idle_ms(routing):
    """Return the maximum idle time of a caller's connection in milliseconds."""
    return caller_limits(routing).idle_ms + IDLE_MARGIN_MS


def peer_limits(routing):
    """Return the CallerLimits of requests that other VMs relay.

    The VM that took the request from its caller has held it to the callers' limits,
    and has added headers since. It may know a newer configuration.
    """
    limits = caller_limits(routing)
    header_max_bytes = max(RELAYED_HEADER_MIN_BYTES, 2 * limits.header_max_bytes)
    return CallerLimits(
        header_max_bytes,
        limits.body_max_bytes,
        limits.header_ms,
        limits.idle_ms,
    )
