"""The base of a folder: the digests of the published files after its last publish.

The base is stored in a file of the folder, so that it is copied along with a checkout.
A publish compares the folder, the base and the published files, and therefore can't
undo a newer edit.
"""

from pathlib import Path

import msgspec
from hornbeamstand_core.errors import ConfigError
from hornbeamstand_wire.folder import digest
from result import Err, Ok

BASE_NAME = ".hornbeamstand-base"


def read_base(folder):
    """Return Ok of a dict of file name to digest; empty if there is no base."""
    path = Path(folder) / BASE_NAME
    if not path.exists():
        return Ok({})
    try:
        return Ok(msgspec.json.decode(path.read_bytes(), type=dict[str, str]))
    except OSError as error:
        detail = f"cannot be read: {error.strerror}"
        return Err(ConfigError("read", BASE_NAME, detail))
    except msgspec.DecodeError as error:
        detail = f"is not a JSON object of file names and digests: {error}"
        return Err(ConfigError("read", BASE_NAME, detail))


def write_base(folder, digests):
    """Store the digests of the published files as the new base."""
    raw = msgspec.json.format(msgspec.json.encode(digests, order="sorted"), indent=1)
    (Path(folder) / BASE_NAME).write_bytes(raw + b"\n")


def apply_published_changes(folder, plan):
    """Update the files of the folder that only other publishers have changed."""
    for name in plan.taken_over:
        path = Path(folder) / name
        if name in plan.texts:
            path.write_text(plan.texts[name], encoding="utf-8")
        else:
            path.unlink(missing_ok=True)


def digests_of(texts):
    """Return a dict of file name to digest for a dict of file name to text."""
    return {name: digest(text) for name, text in texts.items()}
