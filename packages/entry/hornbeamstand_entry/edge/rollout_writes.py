"""The task that writes the statuses of roll-outs to the platform's store.

A write whose answer is lost may have been carried out, so what the store has is read
after each write that did not succeed.
"""

from hornbeamstand_core.controllers.rollouts.rollouts import RECORD_TYPES
from hornbeamstand_core.rollout_messages import RolloutWriteEnded

from ..tasks.task import Task


class RolloutWriter:
    """Writes statuses, one at a time.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    control_task : EdgeControlTask
        Receives a RolloutWriteEnded for each write.
    """

    __slots__ = ("store", "control_task", "task")

    def __init__(self, store, control_task):
        self.store = store
        self.control_task = control_task
        self.task = Task("rollout-writes")

    def post(self, message):
        """Put a WriteRolloutStatus into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            message = self.task.mailbox.get()
            self.control_task.post(self.write(message))

    def write(self, message):
        """Carry out a WriteRolloutStatus; return its RolloutWriteEnded."""
        status = message.status
        written = self.store.write_rollout_status(message)
        if written.is_ok():
            return RolloutWriteEnded(status.service_name, written.ok_value)
        detail = str(written.err_value)
        found = []
        for key in (status.order_key, status.key):
            # The keys of other services may begin with this one.
            page = self.store.read_all(key)
            if page.is_err():
                detail = f"{detail}; {page.err_value}"
                return RolloutWriteEnded(status.service_name, None, None, detail)
            found += [item for item in page.ok_value.records if is_at(item, key)]
        return RolloutWriteEnded(status.service_name, None, found, detail)


def is_at(record, key):
    """Return whether a record of the store is an order or a status at a key."""
    return type(record) in RECORD_TYPES and record.key == key
