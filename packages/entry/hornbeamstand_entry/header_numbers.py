"""Reads numbers from header values, which any caller or target may have written."""

from math import isfinite

# Maximum number of digits of a count: a float still holds every such number exactly.
N_DIGITS_MAX = 15


def read_number(text):
    """Return the number in a header value; None if absent, malformed or not finite."""
    try:
        number = float(text) if text is not None else None
    except ValueError:
        return None
    return number if number is not None and isfinite(number) else None


def read_count(text):
    """Return the integer of 0 or more in a header value; None if it is none.

    A number of more than ``N_DIGITS_MAX`` digits counts as none.
    """
    if not text.isascii() or not text.isdigit() or len(text) > N_DIGITS_MAX:
        return None
    return int(text)
