"""Refuses what this VM can't take at all."""

from result import Err

from ..messages import Refusal

N_HOPS_MAX = 1


def make_admit(find_refusal):
    """Return a filter that asks ``find_refusal`` about this VM's own limits."""

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
