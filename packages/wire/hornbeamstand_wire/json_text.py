"""Decodes JSON that another process wrote, and checks the types of its values."""

import msgspec


def decode_json(raw):
    """Return the value of a JSON text; raises ValueError if it is malformed.

    A text that is nested too deeply to be decoded is malformed too.
    """
    try:
        return msgspec.json.decode(raw)
    except RecursionError as error:
        raise ValueError("JSON is nested too deeply") from error


def check_type(value, expected_type):
    """Return a decoded value if it has a type, such as ``dict[str, int]``.

    Raises ValueError if it has another one. Of a TypedDict, only its fields remain.
    """
    return msgspec.convert(value, expected_type)
