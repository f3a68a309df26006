"""The request filter chain.

A filter takes the next handler and returns a handler. A handler is a generator
function: it takes a Call or an EdgeCall, yields effects (see ``messages`` and
``edge_messages``) to its driver, and returns ``Ok(Answer)`` or ``Err(Refusal)``.
"""

from .account import account
from .admit import make_admit
from .chain import build_chain, build_default_chain
from .choose import choose
from .classify import classify
from .deadline import deadline
from .dispatch import dispatch
from .identify import make_identify
from .orders import orders
from .recover import recover
from .retry import retry

__all__ = [
    "account",
    "build_chain",
    "build_default_chain",
    "choose",
    "classify",
    "deadline",
    "dispatch",
    "make_admit",
    "make_identify",
    "orders",
    "recover",
    "retry",
]
