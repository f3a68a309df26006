"""The task that checks whether this VM reaches the platform's store."""

from hornbeamstand_core.edge_node_messages import StoreChecked

from ..tasks.task import Task


class StoreChecker:
    """Makes the calls that the controllers ask for with a CheckStore, one at a time.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    key : str
        Key that is read: this VM's own entry, which is small or missing.
    control_task : EdgeControlTask
        Receives the results.
    log : EdgeLog
        Logs failed checks.
    """

    __slots__ = ("store", "key", "control_task", "log", "task")

    def __init__(self, store, key, control_task, log):
        self.store = store
        self.key = key
        self.control_task = control_task
        self.log = log
        self.task = Task("store-checker")

    def post(self, message):
        """Put a CheckStore into the task's mailbox."""
        self.task.post(message)

    def start(self, stack):
        """Start the task; the exit stack ends it."""
        self.task.start(self._run, stack)

    def _run(self):
        while True:
            message = self.task.mailbox.get()
            result = self.store.check(self.key, message.timeout_ms)
            if result.is_err():
                self.log.info("store: check failed", error=str(result.err_value))
            self.control_task.post(StoreChecked(result.is_ok()))
