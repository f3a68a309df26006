"""Builds filter chains."""

from .account import account
from .admit import make_admit
from .choose import choose
from .classify import classify
from .deadline import deadline
from .dispatch import dispatch
from .identify import make_identify
from .orders import orders
from .recover import recover
from .retry import retry


def build_chain(filters, handler):
    """Wrap a handler in filters; the first filter of the list is the outermost."""
    for wrap in reversed(filters):
        handler = wrap(handler)
    return handler


def build_default_chain(find_service, find_refusal):
    """Return the handler of requests that name their service.

    Parameters
    ----------
    find_service : callable
        Maps a service name to its ServiceSpec, or None.
    find_refusal : callable
        Maps a Call that exceeds this VM's limits to its Refusal, any other to None.
    """
    filters = [
        account,
        recover,
        make_identify(find_service),
        deadline,
        classify,
        make_admit(find_refusal),
        orders,
        # Once more, so that resends of an order that met an error get its outcome.
        recover,
        retry,
        choose,
    ]
    return build_chain(filters, dispatch)
