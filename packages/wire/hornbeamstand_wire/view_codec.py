"""Encodes the membership view as a JSON value, and decodes it."""

from hornbeamstand_core.view import Member, View


def view_key(cell):
    """Return the key of a cell's view."""
    return f"cells/{cell}/view"


def view_to_value(view):
    """Return the JSON value of a view."""
    members = {
        member_id: {name: getattr(member, name) for name in Member.__slots__}
        for member_id, member in view.members.items()
    }
    return {
        "version": view.version,
        "members": members,
        "clean_exits": list(view.clean_exits),
    }


def view_from_value(value):
    """Return the View of a JSON value, or an empty View if the value is None."""
    if value is None:
        return View.empty()
    members = {
        member_id: Member(**fields) for member_id, fields in value["members"].items()
    }
    return View(value["version"], members, value["clean_exits"])
