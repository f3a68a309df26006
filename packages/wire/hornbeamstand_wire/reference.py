"""Reference pages of schema classes, as Markdown tables."""

from .schema import list_fields, nested_class


def list_classes(cls):
    """Return a schema class and the classes nested in it, each once, in order."""
    classes = [cls]
    for field in list_fields(cls):
        nested = nested_class(field.type)
        if nested is not None:
            classes += [c for c in list_classes(nested) if c not in classes]
    return classes


def describe_type(field):
    """Return the text of a field's type."""
    nested = nested_class(field.type)
    name = getattr(field.type, "__name__", str(field.type))
    if nested is not None:
        if str(field.type).startswith("dict"):
            return f"object of {nested.__name__}"
        if str(field.type).startswith("list"):
            return f"list of {nested.__name__}"
        return nested.__name__
    type_names = {"str": "text", "int": "integer", "float": "number", "bool": "boolean"}
    if str(field.type) == "list[str]":
        return "list of text"
    if str(field.type) == "int | None":
        return "integer or null"
    return type_names[name]


def describe_bounds(bounds):
    """Return the text of a field's bounds; empty if there are none."""
    if bounds.pattern is not None:
        return f"`{bounds.pattern}`".replace("|", "\\|")
    if bounds.minimum is None:
        return ""
    return f"{bounds.minimum} to {bounds.maximum}"


def describe_default(field):
    """Return the text of a field's default."""
    if field.is_required:
        return "required"
    if field.default is None:
        return "null" if nested_class(field.type) is None else "its defaults"
    if field.default == ():
        return "empty"
    return f"`{field.default}`"


def describe_class(cls):
    """Return the Markdown lines of one class."""
    summary = cls.__doc__.strip().splitlines()[0]
    lines = [f"## {cls.__name__}", "", summary, ""]
    lines += ["| field | type | allowed | default | meaning |", "| --- " * 5 + "|"]
    for field in list_fields(cls):
        lines.append(
            f"| `{field.name}` | {describe_type(field)} |"
            f" {describe_bounds(field.bounds)} | {describe_default(field)} |"
            f" {field.bounds.description} |"
        )
    return [*lines, ""]


def make_reference(cls, title):
    """Return the reference page of a schema class and the classes nested in it."""
    lines = [f"# {title}", ""]
    for schema in list_classes(cls):
        lines += describe_class(schema)
    return "\n".join(lines).rstrip() + "\n"
