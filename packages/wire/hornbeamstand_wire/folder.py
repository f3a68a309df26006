"""The operators' folder: small JSON files merged in the order of their names."""

from hashlib import sha256
from pathlib import Path

import msgspec
from hornbeamstand_core.config import Configuration
from hornbeamstand_core.errors import ConfigError
from result import Err, Ok

from .schema import build

# The platform holds values up to a megabyte; JSON quoting takes some of it.
FILE_SIZE_MAX_BYTES = 500_000
# Names that start so are not configuration.
HIDDEN_PREFIX = "."


def read_folder(folder):
    """Return Ok of a dict of file name to text, or Err of a ConfigError."""
    path = Path(folder)
    if not path.is_dir():
        return Err(ConfigError("read", str(folder), "is not a folder"))
    texts = {}
    for file in sorted(path.iterdir()):
        if file.suffix != ".json" or file.name.startswith(HIDDEN_PREFIX):
            continue
        try:
            texts[file.name] = file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return Err(ConfigError("read", file.name, str(error)))
        if len(texts[file.name].encode()) > FILE_SIZE_MAX_BYTES:
            detail = f"is larger than {FILE_SIZE_MAX_BYTES} bytes"
            return Err(ConfigError("read", file.name, detail))
    return Ok(texts)


def digest(text):
    """Return the digest by which two versions of a file are compared."""
    return sha256(text.encode()).hexdigest()[:16]


def merge_texts(texts):
    """Merge files into one Configuration and check it as a whole.

    Parameters
    ----------
    texts : dict of str to str
        File name to JSON text.

    Returns
    -------
    Result
        ``Ok`` of a Configuration, or ``Err`` of a ConfigError that names the
        file and the field.
    """
    merged = {"services": {}, "failure_domains": {}}
    origins = {}
    for name in sorted(texts):
        decoded = decode_object(name, texts[name])
        if decoded.is_err():
            return decoded
        merge_object(merged, decoded.ok_value, name, origins, ())
    built = build(Configuration, merged, "folder")
    if built.is_err():
        return Err(blame_file(built.err_value, origins))
    fault = built.ok_value.find_fault()
    if fault is not None:
        field, problem = fault
        error = ConfigError("check", "folder", f"field {field}: {problem}")
        return Err(blame_file(error, origins))
    return built


def decode_object(name, text):
    """Return Ok of the file's top object, or Err."""
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return Err(ConfigError("decode", name, str(error)))
    if not isinstance(raw, dict):
        return Err(ConfigError("decode", name, "field (top): expected an object"))
    return Ok(raw)


def merge_object(into, raw, name, origins, path):
    """Merge one object; a later file's value replaces an earlier one's."""
    for key, value in raw.items():
        here = (*path, key)
        origins[here] = name
        if isinstance(value, dict) and isinstance(into.get(key), dict):
            merge_object(into[key], value, name, origins, here)
        elif isinstance(value, dict):
            into[key] = {}
            merge_object(into[key], value, name, origins, here)
        else:
            into[key] = value


def blame_file(error, origins):
    """Return the error with the file that last set the field."""
    field = error.detail.removeprefix("field ").partition(":")[0]
    best = ()
    for path in origins:
        text = ".".join(path)
        if (field == text or field.startswith(f"{text}.")) and len(path) > len(best):
            best = path
    return ConfigError(error.step, origins.get(best, "folder"), error.detail)
