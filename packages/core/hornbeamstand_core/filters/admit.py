"""Refuses calls that exceed the limits of this VM."""

from result import Err

from ..messages import Refusal

# Maximum number of entry VMs that have forwarded a request. A VM forwards only requests
# that have not been forwarded before.
N_HOPS_MAX = 1


def make_admit(find_refusal):
    """Return a filter that refuses a call if ``find_refusal`` returns a refusal.

    A call that was forwarded too often is refused before ``find_refusal`` runs.
    """

    def admit(next_handler):
        def handle(call):
            if call.request.n_hops > N_HOPS_MAX:
                return Err(Refusal("handed over too often", status=508, step="admit"))
            refusal = find_refusal(call)
            if refusal is not None:
                return Err(refusal)
            return (yield from next_handler(call))

        return handle

    return admit
