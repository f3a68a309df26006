"""Puts the filters of routed requests together."""

from .account import account
from .attempts import attempts
from .chain import build_chain
from .find_route import find_route
from .relay import relay


def build_edge_chain():
    """Return the handler of callers' requests and of those handed over."""
    return build_chain([account, find_route, relay], attempts)
