"""Which members have transferred their orders since the last change of the holders."""

from ...assignment import order_primary


class OrderTransfers:
    """The transfers that the new primary of a key waits for.

    A view or an edit of a serving set moves keys to other primaries. The members adopt
    it at different times and then transfer their orders, so the new primary knows all
    orders of a key once every member has done so.

    ``_versions`` maps each member to the versions of view and configuration of its last
    transfer. ``_former_sizes`` are the sizes of the serving sets, by service, that some
    member may still use.

    Parameters
    ----------
    member_id : str
        This VM.
    """

    __slots__ = ("member_id", "_versions", "_former_sizes")

    def __init__(self, member_id):
        self.member_id = member_id
        self._versions = {}
        self._former_sizes = []

    def note_configuration(self, former, configuration):
        """Record that this VM adopts a configuration after a former one, if any."""
        if former is None:
            return
        sizes = serving_set_sizes(former)
        is_new = sizes not in self._former_sizes
        if is_new and sizes != serving_set_sizes(configuration):
            self._former_sizes.append(sizes)

    def note_view(self, view):
        """Forget the members that a view has lost; ids are never used again.

        A member that this view does not have yet may have transferred its orders for a
        later one.
        """
        self._versions = {
            member_id: versions
            for member_id, versions in self._versions.items()
            if member_id in view.members or versions[0] > view.version
        }

    def note_transfer(self, message):
        """Record an OrdersReceived that is part of a transfer.

        Transfers may arrive in any order; an earlier one lowers no version. A member
        of a former release does not tell its configuration, and is not awaited for it.
        """
        view_version, config_version = self._versions.get(message.sender_id, (0, 0))
        received = message.config_version
        if received is None:
            received = float("inf")
        self._versions[message.sender_id] = (
            max(view_version, message.transfer_version),
            max(config_version, received),
        )

    def has_all(self, view):
        """Return whether all other members have transferred their orders for a view."""
        return all(
            self._versions.get(member_id, (0, 0))[0] >= view.version
            for member_id in view.members
            if member_id != self.member_id
        )

    def has_all_of_key(self, view, configuration, service_name, key):
        """Return whether no member may hold an order of a key unknown to its primary.

        This VM is the primary. If it was the primary under all configurations that
        members may still use, it need not wait for them.
        """
        if not self.has_all(view):
            return False
        if self._has_all_configurations(view, configuration):
            self._former_sizes.clear()
        return all(
            order_primary(view, service_name, sizes[service_name], key)
            == self.member_id
            for sizes in self._former_sizes
            if service_name in sizes
        )

    def _has_all_configurations(self, view, configuration):
        return all(
            self._versions.get(member_id, (0, 0))[1] >= configuration.version
            for member_id in view.members
            if member_id != self.member_id
        )


def serving_set_sizes(configuration):
    """Return a dict of service name to the size of its serving set."""
    return {
        name: spec.serving_set_size for name, spec in configuration.services.items()
    }
