"""The state machine of a service's roll-out, as one plain function of messages.

Each VM that sends to the service's targets runs it. The status in the store binds all
of them. A write of it expects the revisions of the status and of the order that it was
decided by, so that an order gets exactly one final state.
"""

from ...records import Record
from ...rollout_messages import (
    CANARY,
    COMPLETE,
    MOVING,
    REVERTED,
    RolloutStatus,
)


class RolloutState(Record):
    """What one VM knows and wants of a service's roll-out.

    ``order`` is the RolloutOrder in force, or None, and ``stored`` the RolloutStatus in
    the store, or None. The VM acts by ``phase`` and wants ``wanted`` to be stored, for
    the ``reason``. Without an order, the phases mean nothing.
    """

    __slots__ = ("order", "stored", "phase", "wanted", "reason")

    def __init__(self, order=None, stored=None, phase=CANARY, wanted=CANARY, reason=""):
        self.order = order
        self.stored = stored
        self.phase = phase
        self.wanted = wanted
        self.reason = reason

    @property
    def is_settled(self):
        """Whether the store has the final state of the order."""
        return is_about(self.stored, self.order) and self.stored.is_final


class OrderSeen(Record):
    """The store has an order."""

    __slots__ = ("order",)

    def __init__(self, order):
        self.order = order


class OrderRemoved(Record):
    """The store has no order any more, or none that can be read."""

    __slots__ = ()


class StatusSeen(Record):
    """The store has a status, or none (None)."""

    __slots__ = ("status",)

    def __init__(self, status):
        self.status = status


class PhaseHeard(Record):
    """A peer acts by a phase of the order; it reports COMPLETE only once stored."""

    __slots__ = ("phase",)

    def __init__(self, phase):
        self.phase = phase


class MoveWanted(Record):
    """The new version may get all requests."""

    __slots__ = ()


class Finished(Record):
    """No target of another version gets requests, or has any in flight."""

    __slots__ = ()


class Braked(Record):
    """The new version must get no more requests."""

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason


def advance(state, message):
    """Return the RolloutState after a message."""
    return HANDLERS[type(message)](state, message)


def see_order(state, message):
    """Begin an order, unless it is the one in force or repeats it."""
    order = message.order
    if continues(state, order):
        return change(state, order=order)
    begun = RolloutState(order, state.stored)
    return see_status(begun, StatusSeen(state.stored))


def continues(state, order):
    """Return whether an order is the one in force, or repeats it before its end."""
    known = state.order
    if known is None:
        return False
    if known.revision == order.revision:
        return True
    is_same = known.target_version == order.target_version
    return is_same and not is_final(state.phase)


def remove_order(state, message):
    """End the order; an unfinished status of it is then written as reverted."""
    return RolloutState(None, state.stored)


def see_status(state, message):
    """Adopt the status in the store; a final phase of the order binds this VM."""
    status = message.status
    state = change(state, stored=status)
    if not is_about(status, state.order):
        return state
    if status.is_final:
        reason = state.reason if state.phase == status.phase else "stored"
        return change(state, phase=status.phase, wanted=status.phase, reason=reason)
    if status.phase == MOVING and state.phase == CANARY:
        return begin_moving(state)
    return state


def hear_phase(state, message):
    """Follow a peer that has braked, moves, or knows of the end."""
    if state.order is None or state.is_settled:
        return state
    if message.phase == REVERTED:
        return brake(state, Braked("a peer has reverted"))
    if message.phase == MOVING and state.phase == CANARY:
        return begin_moving(state)
    if message.phase == COMPLETE:
        return change(state, phase=COMPLETE, wanted=COMPLETE, reason="a peer")
    return state


def begin_moving(state):
    """Send to the new version only, if this VM has not decided otherwise."""
    if state.wanted in (REVERTED, COMPLETE):
        return state
    return change(state, phase=MOVING, wanted=MOVING)


def want_move(state, message):
    """Want the move; it begins once the store has it."""
    if state.order is None or state.wanted != CANARY:
        return state
    return change(state, wanted=MOVING)


def finish(state, message):
    """Want the order to be complete."""
    if state.order is None or is_final(state.phase):
        return state
    return change(state, wanted=COMPLETE)


def brake(state, message):
    """Revert at once, before the store says so, unless the end is known."""
    if state.order is None or is_final(state.phase):
        return state
    return change(state, phase=REVERTED, wanted=REVERTED, reason=message.reason)


HANDLERS = {
    OrderSeen: see_order,
    OrderRemoved: remove_order,
    StatusSeen: see_status,
    PhaseHeard: hear_phase,
    MoveWanted: want_move,
    Finished: finish,
    Braked: brake,
}


def status_to_write(state, started_wall_ms):
    """Return the RolloutStatus that is to be written, or None if none is.

    A status that an earlier order has left without an end is written as reverted first.
    The order came at ``started_wall_ms``, unless the store has another time.
    """
    stored, order = state.stored, state.order
    if stored is not None and not is_about(stored, order):
        if stored.phase in (CANARY, MOVING):
            return with_phase(stored, REVERTED)
    if order is None or not order.key or state.is_settled:
        # Without a key, only peers know of the order.
        return None
    if is_about(stored, order) and stored.phase == state.wanted:
        return None
    if is_about(stored, order):
        started_wall_ms = stored.started_wall_ms
    return RolloutStatus(
        order.status_key,
        order.key,
        order.service_name,
        state.wanted,
        order.target_version,
        order.revision,
        started_wall_ms,
    )


def is_about(status, order):
    """Return whether a status is that of an order.

    An unfinished one of the same version is also if the order was written again.
    """
    if status is None or order is None:
        return False
    if status.target_version != order.target_version:
        return False
    return status.order_revision == order.revision or status.phase in (CANARY, MOVING)


def is_final(phase):
    """Return whether a phase is the end of a roll-out."""
    return phase in (COMPLETE, REVERTED)


def with_phase(status, phase):
    """Return a status with another phase."""
    return RolloutStatus(
        status.key,
        status.order_key,
        status.service_name,
        phase,
        status.target_version,
        status.order_revision,
        status.started_wall_ms,
    )


def change(state, **values):
    """Return a RolloutState with some slots replaced."""
    fields = {name: getattr(state, name) for name in RolloutState.__slots__}
    return RolloutState(**{**fields, **values})
