"""What a program brings to the life of its process."""

from hornbeamstand_core.errors import HornbeamError
from hornbeamstand_core.records import Record


class StartError(HornbeamError):
    """The process can't start for want of something of its host, such as a thread."""


class Program(Record):
    """The functions of one program that ``run_program`` calls.

    Parameters
    ----------
    load_settings : callable
        Returns ``Ok`` with the settings, or ``Err``. Settings have slots, among them
        ``front_address``.
    open_log : callable
        Takes the settings, the process's clock and an exit stack. Starts to write a log
        until the stack is closed, and returns it; it has the methods ``info`` and
        ``warning``, which take an event and its fields.
    open_sockets : callable
        Takes the settings; returns the sockets of all addresses without which the
        process can't serve. Raises AddressError, and then leaves none of them open.
    start : callable
        Takes the settings, the clock, the log, the sockets and an exit stack. Starts to
        serve until the stack is closed, and returns the process, which has ``settings``
        and owns the sockets from now on. Raises StartError.
    reloaded_fields : set of str
        Fields of the settings that take effect while the process runs.
    apply_settings : callable
        Takes the process after such fields of its settings have changed, and applies
        those that it does not read where they are used.
    stop : callable
        Takes the process and the Signals, and performs the planned stop.
    """

    __slots__ = (
        "load_settings",
        "open_log",
        "open_sockets",
        "start",
        "reloaded_fields",
        "apply_settings",
        "stop",
    )

    def __init__(
        self,
        load_settings,
        open_log,
        open_sockets,
        start,
        reloaded_fields,
        apply_settings,
        stop,
    ):
        self.load_settings = load_settings
        self.open_log = open_log
        self.open_sockets = open_sockets
        self.start = start
        self.reloaded_fields = reloaded_fields
        self.apply_settings = apply_settings
        self.stop = stop
