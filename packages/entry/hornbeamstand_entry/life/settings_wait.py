"""Waits at the start until the settings can be loaded."""

import signal
import sys
import time

# Time for which settings that can't be loaded are tried again: they may be about to be
# written. And the interval of the tries.
SETTINGS_WAIT_S = 3.0
SETTINGS_RETRY_INTERVAL_S = 0.1


def wait_for_settings(load_settings, early_signals):
    """Return the result of ``load_settings``, which may fail for a while.

    A stop that is requested meanwhile ends the wait.
    """
    until_s = time.monotonic() + SETTINGS_WAIT_S
    loaded = load_after_signals(load_settings, early_signals)
    if loaded.is_err():
        print(f"error: {loaded.err_value}; trying again", file=sys.stderr, flush=True)
    while loaded.is_err() and time.monotonic() < until_s:
        if is_stop_noted(early_signals):
            break
        time.sleep(SETTINGS_RETRY_INTERVAL_S)
        loaded = load_after_signals(load_settings, early_signals)
    return loaded


def load_after_signals(load_settings, early_signals):
    """Load the settings, and forget each SIGHUP that came before that."""
    # Replacing the list would lose a signal that is noted meanwhile.
    while signal.SIGHUP in early_signals:
        early_signals.remove(signal.SIGHUP)
    return load_settings()


def is_stop_noted(early_signals):
    """Return whether one of the signals requests a stop."""
    return signal.SIGTERM in early_signals or signal.SIGINT in early_signals
