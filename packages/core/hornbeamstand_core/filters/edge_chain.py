"""Builds the filter chain of routed requests."""

from .account import account
from .attempts import attempts
from .chain import build_chain
from .find_route import find_route
from .quota import quota
from .recover import recover
from .relay import relay
from .stopping import stopping


def build_edge_chain():
    """Return the handler of requests from callers and of those that peers relay."""
    filters = [account, recover, find_route, stopping, relay, quota]
    return build_chain(filters, attempts)
