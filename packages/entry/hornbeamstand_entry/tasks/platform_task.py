"""The task that calls the platform for the membership controller."""

from hornbeamstand_core.controllers.node import AdoptView
from hornbeamstand_core.membership_messages import (
    GrantLease,
    LeaseGranted,
    RoundDone,
    RoundFailed,
    StartRound,
)
from hornbeamstand_wire.view_codec import view_from_value, view_key, view_to_value

from .task import Task


class PlatformTask:
    """Performs renewal rounds, lease grants and view writes, one at a time.

    A round reads the view, renews leases and checks whether others have lapsed.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform's store.
    cell : str
        Name of the cell, which is part of the view's key.
    lease_ms : int
        Lease time that is requested for this VM.
    control_task : ControlTask
        Takes the results.
    log : structlog logger
        Logs view writes and failed calls.
    """

    __slots__ = ("platform", "cell", "lease_ms", "control_task", "log", "task")

    def __init__(self, platform, cell, lease_ms, control_task, log):
        self.platform = platform
        self.cell = cell
        self.lease_ms = lease_ms
        self.control_task = control_task
        self.log = log
        self.task = Task("platform")

    def post(self, message):
        """Put a StartRound, GrantLease or WriteView into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            message = self.task.mailbox.get()
            if type(message) is StartRound:
                reply = self._perform_round(message)
            elif type(message) is GrantLease:
                reply = self._grant_lease()
            else:
                reply = self._write_view(message)
            if reply is not None:
                self.control_task.task.post(reply)

    def _perform_round(self, message):
        read = self.platform.get(view_key(self.cell))
        if read.is_err():
            return self._report_failure(read.err_value)
        renewed = self.platform.renew_leases(message.renew_ids, message.check_ids)
        if renewed.is_err():
            return self._report_failure(renewed.err_value)
        stored = read.ok_value
        try:
            view = view_from_value(stored.value)
        except ValueError as error:
            return self._report_failure(f"the view is malformed: {error}")
        return RoundDone(
            view, stored.revision, renewed.ok_value, message.heartbeat_at_ms
        )

    def _grant_lease(self):
        granted = self.platform.grant_lease(self.lease_ms)
        if granted.is_err():
            return self._report_failure(granted.err_value)
        return LeaseGranted(granted.ok_value)

    def _write_view(self, message):
        value = view_to_value(message.view)
        key = view_key(self.cell)
        written = self.platform.put_and_verify(key, value, message.revision)
        if written.is_err():
            detail = f"{written.err_value}; the next round reads the view again"
            self.log.info("member: view write lost", error=detail)
            return None
        self.log.info(
            "member: view written",
            version=message.view.version,
            members=sorted(message.view.members),
        )
        return AdoptView(message.view)

    def _report_failure(self, error):
        detail = f"{error}; the next round repeats the call"
        self.log.warning("platform: call failed", error=detail)
        return RoundFailed()
