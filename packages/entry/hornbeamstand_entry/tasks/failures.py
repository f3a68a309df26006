"""Errors that nobody expects: reported, contained, or the end of the process."""

import os
import traceback
from contextlib import suppress

import gevent
from gevent.baseserver import BaseServer

from .greenlets import spawn
from .memory_errors import note_failed_allocation

# Exit status of a process after one of its tasks raised an exception (EX_SOFTWARE of
# sysexits.h).
EXIT_TASK_FAILED = 70
# Ending of the name of gevent's function that reports the error of a greenlet.
GREENLET_REPORT_NAME = "__report_error"
# Functions that ``report_failures_to`` has registered.
failure_reports = []


def report_failures_to(report, stack):
    """Call ``report(name, error, ends_process)`` for every unexpected error.

    ``name`` is that of the task or part where it was raised. ``report`` must not block.
    The exit stack removes it.
    """
    failure_reports.append(report)
    stack.callback(failure_reports.remove, report)


def report_failure(name, error, ends_process=False):
    """Report an unexpected error to the functions that were registered for it.

    A report that fails itself is left out: the error has to be handled in any case.
    After a failed allocation, memory is freed first.
    """
    if isinstance(error, MemoryError):
        note_failed_allocation()
    for report in failure_reports:
        with suppress(Exception):
            report(name, error, ends_process)


def exit_on_failure(name, error):
    """Exit the process at once, because without one of its tasks its state is wrong.

    Peers handle the exit like any other crash.
    """
    try:
        report_failure(name, error, ends_process=True)
        traceback.print_exception(error)
    finally:
        os._exit(EXIT_TASK_FAILED)


def handle_loop_failures(stack):
    """Report what the event loop is told of, until the exit stack is closed.

    The process exits if the loop can't call back for want of memory: the greenlet that
    was to be woken would wait for good.
    """
    hub = gevent.get_hub()
    handle_error = hub.handle_error

    def handle_loop_error(context, kind, error, trace):
        if issubclass(kind, MemoryError):
            note_failed_allocation()
        if isinstance(context, tuple) and isinstance(context[-1], BaseServer):
            # A connection that was accepted, with its server; it is closed already.
            context = context[-1]
        is_contained = isinstance(context, (gevent.Greenlet, BaseServer, dict))
        is_contained |= comes_from_greenlet_report(trace)
        if issubclass(kind, MemoryError) and not is_contained:
            exit_on_failure("event-loop", error or MemoryError())
        if isinstance(context, BaseServer):
            report_failure("acceptor", error)
        elif isinstance(context, gevent.Greenlet) and not issubclass(kind, OSError):
            report_failure("greenlet", error)
        # To print the error may take more memory than there is.
        with suppress(MemoryError):
            handle_error(context, kind, error, trace)

    hub.handle_error = handle_loop_error
    stack.callback(delattr, hub, "handle_error")


def comes_from_greenlet_report(trace):
    """Return whether an error was raised while gevent reported that of a greenlet.

    For want of memory, a new greenlet may be unable to call any function, also this
    report. It has ended then, and who is linked to it learns of that.
    """
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return False
    return trace.tb_frame.f_code.co_name.endswith(GREENLET_REPORT_NAME)


def call_soon_if_possible(call, *args):
    """Call a function in the next turn of the event loop, unless it finds no memory.

    Nobody waits for what it does: otherwise the error would end the process.
    """
    gevent.get_hub().loop.run_callback(run_if_possible, call, *args)


def run_if_possible(call, *args):
    """Call a function; a failed allocation is reported."""
    try:
        call(*args)
    except MemoryError as error:
        report_failure("event-loop", error)


def spawn_supervised(name, run, *args):
    """Return a new greenlet that calls ``run``, and whose failure ends the process.

    A greenlet that nobody waits for would otherwise end without notice.
    """

    def exit_if_not_called(greenlet):
        if isinstance(greenlet.exception, MemoryError):
            exit_on_failure(name, greenlet.exception)

    greenlet = spawn(run_supervised, name, run, *args)
    greenlet.rawlink(exit_if_not_called)
    return greenlet


def run_supervised(name, run, *args):
    """Call ``run``; an exception ends the process.

    The failed greenlet does this itself: a link to it may find no memory.
    """
    try:
        run(*args)
    except Exception as error:
        exit_on_failure(name, error)
