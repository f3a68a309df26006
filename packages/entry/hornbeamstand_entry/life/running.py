"""Runs the process of a program until its planned stop is complete."""

import gc
import os
import sys
from contextlib import ExitStack

from ..clock import make_process_clock
from ..closing import close_bounded
from ..process_use import describe_limits
from ..tasks.failures import handle_loop_failures, spawn_supervised
from ..tasks.memory_errors import MemoryReserve, relieve_with
from .addresses import AddressError, wait_for_sockets
from .host_features import find_missing
from .output import OutputStream
from .program import StartError
from .reloading import read_again, reload
from .settings_wait import is_stop_noted, wait_for_settings
from .signals import Signals

# Exit status if the settings can't be loaded, or name an address that can't be used, or
# if the host's limits don't let the process start.
EXIT_BAD_INPUT = 2
# Timeout for closing the tasks' resources. Greenlets that have not ended by then end
# with the process.
CLOSE_TIMEOUT_MS = 150.0
# Thresholds of the garbage collector: net allocations before a collection of the
# youngest generation, collections of the youngest before one of the middle generation,
# and collections of the middle before one of the oldest.
GC_YOUNG_THRESHOLD = 20_000
GC_MIDDLE_THRESHOLD = 50
GC_OLD_THRESHOLD = 100


def run_program(program, early_signals, corrections=None):
    """Run the process until its planned stop is complete, and exit.

    Parameters
    ----------
    program : Program
        What the process runs.
    early_signals : list of int
        Each SIGHUP, SIGTERM and SIGINT since the start. More may be added until the
        process handles the signals itself.
    corrections : Corrections, optional
        What was corrected of the state that the launcher left to the process.
    """
    # Tracebacks go to standard error at any time, also from the event loop.
    sys.stderr = OutputStream(2)
    # Exits without waiting for greenlets and threads that have not ended.
    os._exit(run_until_stopped(program, early_signals, corrections))


def run_until_stopped(program, early_signals=(), corrections=None):
    """Run the process until a planned stop is complete; return its exit status."""
    loaded = wait_for_settings(program.load_settings, early_signals)
    if loaded.is_err() and is_stop_noted(early_signals):
        print("stopped: stop requested before the settings were read", file=sys.stderr)
        return 0
    if loaded.is_err():
        print(f"error: {loaded.err_value}", file=sys.stderr)
        return EXIT_BAD_INPUT
    signals = Signals()
    signals.install(early_signals)
    with ExitStack() as stack:
        handle_loop_failures(stack)
        keep_memory_reserve(stack)
        clock = make_process_clock()
        log = program.open_log(loaded.ok_value, clock, stack)
        if corrections is not None:
            log_corrections(log, corrections)
        log_missing_features(log)
        try:
            serve(program, loaded.ok_value, clock, log, signals, stack)
        except AddressError as error:
            fields = {"address": error.peer, "error": error.detail}
            log.warning("process: address unusable", **fields)
            return EXIT_BAD_INPUT
        except StartError as error:
            fields = {"step": error.step, "peer": error.peer, "error": error.detail}
            log.warning("process: start failed", **fields)
            return EXIT_BAD_INPUT
    return 0


def keep_memory_reserve(stack):
    """Keep memory for the handling of failed allocations until the stack is closed."""
    reserve = MemoryReserve()
    relieve_with(reserve.release, stack)
    keeper = spawn_supervised("memory-reserve", reserve.restore_forever)
    stack.callback(keeper.kill, block=False)


def log_corrections(log, corrections):
    """Log what was corrected of the inherited state, if anything was."""
    fields = corrections.describe()
    if fields:
        log.warning("process: inherited state corrected", **fields)


def log_missing_features(log):
    """Log what the process can do without and its host lacks, if anything."""
    missing = find_missing()
    if missing:
        log.warning("process: host lacks features", missing=missing)


def serve(program, settings, clock, log, signals, stack):
    """Serve as soon as the addresses are free, until the planned stop is complete.

    Raises AddressError if an address that serving needs can never be bound, and
    StartError if the process can't start.
    """
    settings, sockets = open_addresses(program, settings, clock, log, signals)
    if sockets is None:
        log.info("process: stopped", reason="stop requested before the start")
        return
    process = program.start(settings, clock, log, sockets, stack)
    tune_garbage_collector()
    log.info("process: started", front=settings.front_address, **describe_limits())
    serving = spawn_supervised(
        "lifecycle", serve_until_stopped, program, process, log, signals
    )
    serving.join()
    log.info("process: stopped")
    close_bounded(stack, CLOSE_TIMEOUT_MS)


def serve_until_stopped(program, process, log, signals):
    """Serve until a stop is requested, and perform it."""
    wait_for_stop(program, process, log, signals)
    program.stop(process, signals)
    if signals.is_reload_requested:
        log.info("process: reload ignored", reason="it came in the planned stop")


def tune_garbage_collector():
    """Keep garbage collection pauses short, and enable the collector.

    The objects that exist by now are frozen: they live as long as the process. The
    entry points disable the collector during the start.
    """
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, GC_MIDDLE_THRESHOLD, GC_OLD_THRESHOLD)
    gc.enable()


def open_addresses(program, settings, clock, log, signals):
    """Return the settings in force and the sockets of their addresses.

    A reload during the wait takes effect on the addresses too. The sockets are None if
    a stop is requested before they can be opened.
    """
    while not signals.is_stop_requested:
        sockets = wait_for_addresses(program, settings, clock, log, signals)
        if sockets is not None:
            return settings, sockets
        if signals.is_reload_requested:
            signals.is_reload_requested = False
            read = read_again(program.load_settings, settings, log)
            if read is None:
                signals.retry_reload()
            settings = read or settings
    return settings, None


def wait_for_addresses(program, settings, clock, log, signals):
    """Return the sockets; None if a signal comes before they can be opened.

    The VM needs the address of callers and those of other VMs: the limits of targets
    hold over all VMs only while these hear each other, and what another VM relays would
    reach the program that has the port.
    """

    def wait(timeout_ms):
        return signals.wait(timeout_ms) or signals.is_reload_requested

    return wait_for_sockets(lambda: program.open_sockets(settings), clock, log, wait)


def wait_for_stop(program, process, log, signals):
    """Wait until a stop is requested; reload the settings whenever that is."""
    while True:
        if signals.is_reload_requested:
            signals.is_reload_requested = False
            if not reload(program, process, log):
                signals.retry_reload()
        if signals.wait():
            return
