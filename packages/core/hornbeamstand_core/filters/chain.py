"""Puts the filters together."""

from .account import account
from .admit import make_admit
from .choose import choose
from .classify import classify
from .deadline import deadline
from .dispatch import dispatch
from .identify import make_identify
from .orders import orders
from .retry import retry


def build_chain(filters, handler):
    """Wrap a handler in filters; the first filter sees the call first."""
    for wrap in reversed(filters):
        handler = wrap(handler)
    return handler


def build_default_chain(find_service, find_refusal):
    """Return the product's chain.

    Parameters
    ----------
    find_service : callable
        Maps a service name to its ServiceSpec, or None.
    find_refusal : callable
        Maps a Call to the Refusal of this VM's own limits, or None.
    """
    filters = [
        account,
        make_identify(find_service),
        deadline,
        classify,
        make_admit(find_refusal),
        orders,
        retry,
        choose,
    ]
    return build_chain(filters, dispatch)
