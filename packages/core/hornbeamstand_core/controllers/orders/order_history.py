"""The orders whose records are lost, because all VMs that held them crashed."""

from ...assignment import order_holders
from ...view import View


class OrderHistory:
    """The keys of which this VM can't know whether an order has run.

    If more than one member crashed between two transfers, ``_lost_member_ids`` holds
    their ids and ``_view_before_loss`` the view before, from which follow the keys
    whose history is lost. If ``_is_all_lost`` is set, the history of any key may be
    lost. The loss ends at ``_lost_until_ms``, when the lost orders would have expired.
    ``_seen_member_ids`` are the members of the views before the first transfer.

    Parameters
    ----------
    retention_ms : float
        Time for which orders are kept.
    """

    __slots__ = (
        "_retention_ms",
        "_lost_member_ids",
        "_view_before_loss",
        "_lost_until_ms",
        "_is_all_lost",
        "_seen_member_ids",
    )

    def __init__(self, retention_ms):
        self._retention_ms = retention_ms
        self._lost_member_ids = frozenset()
        self._view_before_loss = View.empty()
        self._lost_until_ms = float("-inf")
        self._is_all_lost = False
        self._seen_member_ids = frozenset()

    def note_view(self, transferred_view, view, now_ms):
        """Record the members that crashed since the latest complete transfer.

        ``transferred_view`` is the view of that transfer, and ``view`` the new one.
        """
        if not transferred_view.members:
            self._note_view_before_transfer(view, now_ms)
            return
        removed = set(transferred_view.members) - set(view.members)
        lost = removed - set(view.clean_exits)
        # Each order is held by two members, so the loss of one member loses no history.
        if len(lost) > 1:
            self._lost_member_ids = self._lost_member_ids | lost
            self._view_before_loss = transferred_view
            self._lost_until_ms = now_ms + self._retention_ms

    def _note_view_before_transfer(self, view, now_ms):
        """Record whether the members that had the orders have crashed.

        A cell whose VMs were all killed has no other record of their orders, nor has a
        cell of one VM.
        """
        self._seen_member_ids |= view.members.keys()
        lost = self._seen_member_ids - view.members.keys() - set(view.clean_exits)
        if len(lost) > 1 or (lost and len(view.members) == 1):
            self.note_all_lost(now_ms)

    def note_all_lost(self, now_ms):
        """Record that the history of any key may be lost."""
        self._is_all_lost = True
        self._lost_until_ms = now_ms + self._retention_ms

    def is_any_lost(self, now_ms):
        """Return whether the history of some keys is lost."""
        return now_ms < self._lost_until_ms

    def is_lost(self, service_name, spec, key, now_ms):
        """Return whether the history of a key is lost."""
        if not self.is_any_lost(now_ms):
            return False
        if self._is_all_lost:
            return True
        holders = order_holders(self._view_before_loss, service_name, spec, key)[:2]
        return bool(holders) and self._lost_member_ids.issuperset(holders)
