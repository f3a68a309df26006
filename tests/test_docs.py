"""The documents and examples must agree with the code."""

import re
from pathlib import Path

import pytest
from hornbeamstand_core.config import Configuration
from hornbeamstand_ctl.operations import check_folder
from hornbeamstand_entry import headers
from hornbeamstand_entry.settings import Settings
from hornbeamstand_wire.reference import make_reference

ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize(
    ("name", "schema", "title"),
    [
        ("FOLDER.md", Configuration, "The folder's files"),
        ("SETTINGS.md", Settings, "Settings of an entry VM"),
    ],
)
def test_reference_lists_every_field_that_the_code_accepts(name, schema, title):
    assert (ROOT / "docs" / name).read_text() == make_reference(schema, title)


@pytest.mark.parametrize("name", ["tuul", "quispe"])
def test_example_folders_pass_the_check(name):
    assert check_folder(ROOT / "examples" / name).is_ok()


def test_interface_pages_name_every_header():
    pages = "".join(
        (ROOT / "docs" / name).read_text() for name in ("CALLERS.md", "TARGETS.md")
    )
    # Headers between entry VMs, of which callers and targets need not know.
    internal = {headers.HOPS, headers.RECORDED, headers.ROOM}
    for value in vars(headers).values():
        if isinstance(value, str) and value.startswith("Hornbeam-"):
            assert value in pages or value in internal, value


def test_links_between_documents_resolve():
    pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
    for page in pages:
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / link).exists(), f"{page.name}: {link}"
