"""Encodes the membership view as a JSON value, and decodes it."""

from typing import NotRequired, TypedDict

from hornbeamstand_core.view import Member, View

from .json_text import check_type


class MemberFields(TypedDict):
    """The JSON object of a Member."""

    member_id: str
    front_address: str
    peer_address: str
    failure_domain: str
    state: NotRequired[str]
    lease_id: NotRequired[str]


class ViewFields(TypedDict):
    """The JSON object of a View."""

    version: int
    members: dict[str, MemberFields]
    clean_exits: list[str]


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
    """Return the View of a JSON value, or an empty View if the value is None.

    Raises ValueError if the value is not that of a view.
    """
    if value is None:
        return View.empty()
    fields = check_type(value, ViewFields)
    members = {
        member_id: Member(**member) for member_id, member in fields["members"].items()
    }
    return View(fields["version"], members, fields["clean_exits"])
