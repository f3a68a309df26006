"""Decodes JSON that another process wrote."""

import msgspec


def decode_json(raw):
    """Return the value of a JSON text; raises ValueError if it is malformed.

    A text that is nested too deeply to be decoded is malformed too.
    """
    try:
        return msgspec.json.decode(raw)
    except RecursionError as error:
        raise ValueError("JSON is nested too deeply") from error
