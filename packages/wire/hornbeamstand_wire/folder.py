"""The operators' folder: JSON files that are merged in the order of their names."""

from hashlib import sha256
from pathlib import Path

import msgspec
from hornbeamstand_core.config import Configuration, ServiceSpec
from hornbeamstand_core.errors import ConfigError
from result import Err, Ok

from .json_text import decode_json
from .schema import build

# Maximum size of one file. The platform stores values of up to 1 MB, and a file takes
# more than its own size there because its text is escaped as a JSON string.
FILE_SIZE_MAX_BYTES = 500_000
# Prefix of the names of files that are not configuration.
HIDDEN_PREFIX = "."


def read_folder(folder):
    """Read a folder; returns Ok of a dict of file name to text, or Err.

    Only files that end in ``.json`` and are not hidden are read. A file that
    can't be read, is not UTF-8 or is too large is an error.
    """
    path = Path(folder)
    if not path.is_dir():
        return Err(ConfigError("read", str(folder), "is not a folder"))
    texts = {}
    for file in sorted(path.iterdir()):
        if file.suffix != ".json" or file.name.startswith(HIDDEN_PREFIX):
            continue
        try:
            texts[file.name] = file.read_text(encoding="utf-8")
        except OSError as error:
            detail = f"cannot be read: {error.strerror}"
            return Err(ConfigError("read", file.name, detail))
        except UnicodeDecodeError as error:
            detail = f"is not UTF-8: {error.reason} at byte {error.start}"
            return Err(ConfigError("read", file.name, detail))
        n_bytes = len(texts[file.name].encode())
        if n_bytes > FILE_SIZE_MAX_BYTES:
            detail = (
                f"is larger than {FILE_SIZE_MAX_BYTES} bytes: it has {n_bytes} bytes"
            )
            return Err(ConfigError("read", file.name, detail))
    return Ok(texts)


def digest(text):
    """Return the digest that identifies the content of a file, as 16 hex digits."""
    return sha256(text.encode()).hexdigest()[:16]


class MergeCache:
    """Results of the last merge, kept for reuse by the next one.

    ``decoded`` maps (file name, digest) to the file's object. ``services`` maps a
    service name to the service's merged JSON and the ServiceSpec built from it.
    """

    __slots__ = ("decoded", "services")

    def __init__(self):
        self.decoded = {}
        self.services = {}


def merge_texts(texts, cache=None):
    """Merge files into one Configuration and check it as a whole.

    Parameters
    ----------
    texts : dict of str to str
        File name to JSON text.
    cache : MergeCache, optional
        Cache of the previous merge, which is updated. A service that did not change
        stays the same object.

    Returns
    -------
    Result
        ``Ok`` of a Configuration, or ``Err`` of a ConfigError that names the
        file and the field.
    """
    cache = cache or MergeCache()
    decoded = decode_files(texts, cache)
    if decoded.is_err():
        return decoded
    merged = {"services": {}, "failure_domains": {}}
    for raw in decoded.ok_value.values():
        merge_object(merged, raw)
    built = build_merged(merged, cache)
    if built.is_err():
        return Err(locate_error(built.err_value, decoded.ok_value))
    inconsistency = built.ok_value.find_inconsistency()
    if inconsistency is not None:
        field, problem = inconsistency
        error = ConfigError("check", "folder", f"field {field}: {problem}")
        return Err(locate_error(error, decoded.ok_value))
    return built


def decode_files(texts, cache):
    """Decode the files; returns Ok of a dict of name to object, sorted by name."""
    decoded = {}
    for name in sorted(texts):
        key = (name, digest(texts[name]))
        if key not in cache.decoded:
            parsed = decode_object(name, texts[name])
            if parsed.is_err():
                return parsed
            cache.decoded[key] = parsed.ok_value
        decoded[key] = cache.decoded[key]
    cache.decoded = decoded
    return Ok({name: raw for (name, _), raw in decoded.items()})


def build_merged(merged, cache):
    """Build the Configuration of a merged object; returns Ok of it, or Err.

    The services are built one by one, so that those in the cache can be reused.
    """
    services = merged.pop("services")
    built = build(Configuration, {**merged, "services": {}}, "folder")
    if built.is_err() or not isinstance(services, dict):
        # Building the whole object finds the error.
        return build(Configuration, {**merged, "services": services}, "folder")
    entries = {}
    for name, raw in services.items():
        encoded = msgspec.json.encode(raw)
        entry = cache.services.get(name)
        if entry is None or entry[0] != encoded:
            service = build(ServiceSpec, raw, "folder", f"services.{name}")
            if service.is_err():
                return service
            entry = (encoded, service.ok_value)
        entries[name] = entry
    cache.services = entries
    configuration = built.ok_value
    configuration.services = {name: spec for name, (_, spec) in entries.items()}
    return Ok(configuration)


def decode_object(name, text):
    """Decode one file; returns Ok of its top-level object, or Err."""
    try:
        raw = decode_json(text)
    except ValueError as error:
        return Err(ConfigError("decode", name, f"is not valid JSON: {error}"))
    if not isinstance(raw, dict):
        return Err(ConfigError("decode", name, "field (top): expected an object"))
    return Ok(raw)


def merge_object(merged, raw):
    """Merge an object into ``merged``.

    Objects under the same key are merged in turn; any other value replaces the one
    before.
    """
    for key, value in raw.items():
        if not isinstance(value, dict):
            merged[key] = value
            continue
        if not isinstance(merged.get(key), dict):
            merged[key] = {}
        merge_object(merged[key], value)


def find_origins(decoded):
    """Return a dict of field path to the file that last set it."""
    origins = {}

    def add_origins(raw, name, path):
        for key, value in raw.items():
            field_path = f"{path}.{key}" if path else key
            origins[field_path] = name
            if isinstance(value, dict):
                add_origins(value, name, field_path)

    for name, raw in decoded.items():
        add_origins(raw, name, "")
    return origins


def locate_error(error, decoded):
    """Return the error with the name of the file that last set its field.

    If no file set the field itself, the file that last set the closest object around it
    is named, or "folder" if there is none.
    """
    field = error.detail.removeprefix("field ").partition(":")[0]
    closest = ""
    origins = find_origins(decoded)
    for path in origins:
        is_inside = field == path or field.startswith(f"{path}.")
        if is_inside and len(path) > len(closest):
            closest = path
    return ConfigError(error.step, origins.get(closest, "folder"), error.detail)
