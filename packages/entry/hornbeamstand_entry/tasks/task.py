"""Tasks with mailboxes, and the loop of a task that also does periodic work."""

from contextlib import closing

import gevent
from gevent.queue import Empty, SimpleQueue
from hornbeamstand_core.records import Record

from .failures import spawn_supervised

MS_PER_S = 1000.0
# What the timer of a loop puts into its mailbox.
WAKE = object()


class Task:
    """A named greenlet with a mailbox."""

    __slots__ = ("name", "mailbox", "greenlet")

    def __init__(self, name):
        self.name = name
        self.mailbox = SimpleQueue()
        self.greenlet = None

    def post(self, message):
        """Put a message into the task's mailbox without blocking."""
        self.mailbox.put(message)

    def start(self, run, stack):
        """Start a greenlet that calls ``run``; the exit stack kills it.

        An exception in the greenlet ends the process.
        """
        self.greenlet = spawn_supervised(self.name, run)
        stack.callback(self.greenlet.kill, block=False)


class Ask(Record):
    """A message, and the mailbox that the reply is put into."""

    __slots__ = ("message", "reply_to")

    def __init__(self, message, reply_to):
        self.message = message
        self.reply_to = reply_to


def receive(mailbox, timeout_ms):
    """Return the next message, or None after the timeout in milliseconds.

    A message whose cause arrived in time is returned, also if this process was late.
    """
    try:
        return mailbox.get(timeout=max(0.0, timeout_ms) / MS_PER_S)
    except Empty:
        return receive_arrived(mailbox)


def receive_arrived(mailbox):
    """Return a message whose cause has arrived at this process, or None.

    A process that did not run for a while may handle its timers before its sockets, so
    these get a turn of the event loop here.
    """
    try:
        return mailbox.get(timeout=0.0)
    except Empty:
        # The timer may fire after a message was put and before its receiver was woken.
        return None if mailbox.empty() else mailbox.get(block=False)


def start_loop(task, handle, tick, clock, stack):
    """Start a task that runs ``run_loop``; the exit stack kills it."""
    task.start(lambda: run_loop(task.mailbox, handle, tick, clock), stack)


def run_loop(mailbox, handle, tick, clock):
    """Handle messages as they arrive and call ``tick`` at intervals.

    ``tick`` returns the time in milliseconds until its next call. A tick that is due
    comes before the next message.
    """
    next_tick_ms = clock.now_ms()
    message = None
    with closing(WakeTimer(mailbox)) as timer:
        while True:
            now_ms = clock.now_ms()
            if now_ms >= next_tick_ms:
                next_tick_ms = now_ms + tick()
            if message is not None:
                handle(message)
                # What it refers to would stay in memory while the task waits.
                del message
            message = timer.receive(next_tick_ms - clock.now_ms())


class WakeTimer:
    """A timer that wakes the reader of a mailbox.

    It keeps running while messages are handled. A timeout for each read would start
    and close a timer of the event loop for each message.
    """

    __slots__ = ("_mailbox", "_timer")

    def __init__(self, mailbox):
        self._mailbox = mailbox
        self._timer = None

    def receive(self, timeout_ms):
        """Return the next message, or None after about the timeout in milliseconds.

        A wait that follows one that a message ended lasts until the timer of that one
        fires: its timeout is not counted anew. A message whose cause arrived in time
        is returned, also if this process was late.
        """
        if self._timer is None:
            self._start(timeout_ms)
        message = self._mailbox.get()
        if message is not WAKE:
            return message
        self.close()
        return receive_arrived(self._mailbox)

    def _start(self, timeout_ms):
        timeout_s = max(0.0, timeout_ms) / MS_PER_S
        self._timer = gevent.get_hub().loop.timer(timeout_s)
        self._timer.start(self._mailbox.put, WAKE)

    def close(self):
        """Stop the timer."""
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None
