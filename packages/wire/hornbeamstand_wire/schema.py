"""Checks decoded JSON against a plain class and builds an instance of it.

The annotations of the class's ``__init__`` are its schema. msgspec checks types,
bounds and unknown fields of one object at a time, so that an error names the exact
field.
"""

import inspect
import json
import types
from functools import cache
from typing import Annotated, Union, get_args, get_origin, get_type_hints

import msgspec
from hornbeamstand_core.config import ADDRESS_PATTERN, Bounds
from hornbeamstand_core.errors import ConfigError
from hornbeamstand_core.records import Record
from result import Err, Ok

# Types of fields in error messages.
TYPE_TEXTS = {
    str: "text",
    int: "an integer",
    int | None: "an integer or null",
    float: "a number",
    bool: "true or false",
    list[str]: "a list of text",
}
# Maximum length of a found value in an error message.
FOUND_MAX_CHARS = 80
# Start of msgspec's messages that concern the name of a field; the name follows.
UNKNOWN_FIELD = "Object contains unknown field `"
MISSING_FIELD = "Object missing required field `"


class Field(Record):
    """One field of a schema class."""

    __slots__ = ("name", "type", "bounds", "default")

    def __init__(self, name, type, bounds, default):
        self.name = name
        self.type = type
        self.bounds = bounds
        self.default = default

    @property
    def is_required(self):
        """Return whether the field has no default."""
        return self.default is inspect.Parameter.empty


@cache
def list_fields(cls):
    """Return the fields of a schema class, in order."""
    hints = get_type_hints(cls.__init__, include_extras=True)
    parameters = inspect.signature(cls.__init__).parameters
    fields = []
    for name, parameter in parameters.items():
        if name == "self":
            continue
        base_type, bounds = split_annotation(hints[name])
        fields.append(Field(name, base_type, bounds, parameter.default))
    return fields


def split_annotation(annotation):
    """Return the type and the Bounds of an annotation; by default, empty Bounds."""
    if get_origin(annotation) is Annotated:
        base_type, bounds = get_args(annotation)
        return base_type, bounds
    return annotation, Bounds()


def nested_class(field_type):
    """Return the schema class inside a type, or None."""
    for candidate in (field_type, *get_args(field_type)):
        if inspect.isclass(candidate) and issubclass(candidate, Record):
            return candidate
    return None


def checked_type(field):
    """Return the type by which msgspec checks a field.

    Nested objects are only checked to be dicts, as ``build`` checks each on its own.
    """
    if nested_class(field.type) is not None:
        return raw_type(field)
    bounds = field.bounds
    meta = {}
    if bounds.minimum is not None:
        meta["ge"] = bounds.minimum
    if bounds.maximum is not None:
        meta["le"] = bounds.maximum
    if bounds.pattern is not None:
        meta["pattern"] = bounds.pattern
    if not meta:
        return field.type
    if get_origin(field.type) in (Union, types.UnionType):
        inner = next(t for t in get_args(field.type) if t is not type(None))
        return Annotated[inner, msgspec.Meta(**meta)] | None
    return Annotated[field.type, msgspec.Meta(**meta)]


def raw_type(field):
    """Return the type of a field with nested objects, which are not checked yet."""
    if get_origin(field.type) is list:
        return list[dict]
    if field.default is None:
        return dict | None
    return dict


@cache
def make_struct(cls):
    """Return the msgspec struct that checks an object against a schema class."""
    members = []
    for field in list_fields(cls):
        if field.is_required:
            members.append((field.name, checked_type(field)))
            continue
        default = field.default
        if default == ():
            default = msgspec.field(default_factory=list)
        members.append((field.name, checked_type(field), default))
    return msgspec.defstruct(cls.__name__, members, forbid_unknown_fields=True)


def build(cls, raw, source, path=""):
    """Build a schema class from decoded JSON.

    Parameters
    ----------
    cls : type
        The schema class.
    raw : object
        Decoded JSON.
    source : str
        File name for errors.
    path : str
        Field path of the object for errors; empty for the top-level object.

    Returns
    -------
    Result
        ``Ok`` of an instance, or ``Err`` of a ConfigError.
    """
    try:
        checked = msgspec.convert(raw, make_struct(cls))
    except msgspec.ValidationError as error:
        detail = describe_error(error, cls, raw, path)
        return Err(ConfigError("check", source, detail))
    values = {}
    for field in list_fields(cls):
        value = getattr(checked, field.name)
        field_path = f"{path}.{field.name}" if path else field.name
        built = build_value(field, value, source, field_path)
        if built.is_err():
            return built
        values[field.name] = built.ok_value
    return Ok(cls(**values))


def build_value(field, value, source, path):
    """Build the nested objects of a field; returns Ok of its value, or Err."""
    cls = nested_class(field.type)
    if cls is None or value is None:
        return Ok(value)
    if isinstance(value, list):
        return build_items(cls, enumerate(value), source, path, list)
    if get_origin(field.type) is dict:
        return build_items(cls, value.items(), source, path, dict)
    return build(cls, value, source, path)


def build_items(cls, items, source, path, container):
    """Build the objects of a list or dict; returns Ok of a ``container``, or Err."""
    built = {}
    for key, raw in items:
        item = build(cls, raw, source, f"{path}.{key}")
        if item.is_err():
            return item
        built[key] = item.ok_value
    return Ok(built if container is dict else list(built.values()))


def describe_error(error, cls, raw, path):
    """Return a msgspec error on an object as text of the form ``field PATH: PROBLEM``.

    The problem is what was found and what is allowed. ``raw`` is the decoded JSON of
    the object and ``path`` its field path.
    """
    message, _, location = str(error).partition(" - at `$")
    fields = {field.name: field for field in list_fields(cls)}
    if message.startswith(UNKNOWN_FIELD):
        location = message.removeprefix(UNKNOWN_FIELD).removesuffix("`")
        problem = f"is unknown, expected one of {', '.join(fields)}"
    elif message.startswith(MISSING_FIELD):
        location = message.removeprefix(MISSING_FIELD).removesuffix("`")
        problem = f"is missing, expected {describe_allowed(fields[location])}"
    else:
        location = location.rstrip("`").lstrip(".")
        name, bracket, index = location.partition("[")
        if name not in fields:
            found, allowed = raw, "an object"
        elif bracket:
            found = raw[name][int(index.rstrip("]"))]
            allowed = "text" if fields[name].type == list[str] else "an object"
        else:
            found, allowed = raw[name], describe_allowed(fields[name])
        problem = f"found {describe_found(found)}, expected {allowed}"
    field_path = ".".join(part for part in (path, location) if part) or "(top)"
    return f"field {field_path}: {problem}"


def describe_found(value):
    """Return the text of a decoded JSON value; of a container only its kind."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = json.dumps(value)
    return text if len(text) <= FOUND_MAX_CHARS else f"{text[:FOUND_MAX_CHARS]}..."


def describe_allowed(field):
    """Return the text of the values that a field allows."""
    bounds = field.bounds
    if nested_class(field.type) is not None:
        return "a list of objects" if raw_type(field) == list[dict] else "an object"
    if bounds.pattern == ADDRESS_PATTERN:
        return "an IP address and a port, such as 10.1.0.7:8080"
    if bounds.pattern is not None and bounds.pattern.startswith("^("):
        alternatives = bounds.pattern.removeprefix("^(").removesuffix(")$")
        return f"one of {alternatives.replace('|', ', ')}"
    if bounds.pattern is not None:
        return f"text that matches {bounds.pattern}"
    if bounds.minimum is not None:
        return f"{TYPE_TEXTS[field.type]} from {bounds.minimum} to {bounds.maximum}"
    return TYPE_TEXTS[field.type]
