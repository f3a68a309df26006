"""Accounts for each call once, whatever its outcome."""

from ..messages import Account


def account(next_handler):
    """Report the call and its outcome after all other filters have finished."""

    def handle(call):
        outcome = yield from next_handler(call)
        yield Account(call, outcome)
        return outcome

    return handle
