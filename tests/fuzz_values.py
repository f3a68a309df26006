"""Strategies for the fuzz tests: valid values with some parts changed."""

from copy import deepcopy

import msgspec
from hypothesis import strategies as st

# Number of levels that no decoder can follow.
N_DEEP = 5000
SMALL_VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=6)
    | st.sampled_from(["", "-1s", "nanms", "infs", "1e9s", "r-1", "9" * 5000])
)
VALUES = st.recursive(
    SMALL_VALUES,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


def places_of(value, path=()):
    """Return the path of each part of a value of dicts and lists, the outer first."""
    paths = [path] if path else []
    if isinstance(value, dict):
        for key, part in value.items():
            paths += places_of(part, (*path, key))
    if isinstance(value, list):
        for i, part in enumerate(value):
            paths += places_of(part, (*path, i))
    return paths


@st.composite
def changed(draw, value):
    """Draw a copy of a value with up to three parts replaced, removed or repeated."""
    value = deepcopy(value)
    for _ in range(draw(st.integers(0, 3))):
        paths = places_of(value)
        if not paths:
            break
        *outer, last = draw(st.sampled_from(paths))
        parent = value
        for key in outer:
            parent = parent[key]
        action = draw(st.sampled_from(["replace", "remove", "repeat"]))
        if action == "remove":
            del parent[last]
        elif action == "repeat" and isinstance(parent, list):
            parent.append(deepcopy(parent[last]))
        else:
            parent[last] = draw(VALUES)
    return value


@st.composite
def changed_bytes(draw, raw):
    """Draw bytes: whole, or with a part cut out, repeated, overwritten or nested."""
    action = draw(st.sampled_from(["whole", "cut", "repeat", "overwrite", "nest"]))
    start = draw(st.integers(0, len(raw)))
    end = draw(st.integers(start, len(raw)))
    if action == "cut":
        return raw[:start] + raw[end:]
    if action == "repeat":
        return raw[:end] + raw[start:end] + raw[end:]
    if action == "overwrite":
        return raw[:start] + draw(st.binary(max_size=8)) + raw[end:]
    if action == "nest":
        opening = draw(st.sampled_from([b"[", b'{"a":', b"\x91", b"\x81\xa1a"]))
        return raw[:start] + opening * draw(st.sampled_from([1, 3, N_DEEP])) + raw[end:]
    return raw


def json_like(value):
    """Return a strategy for the JSON of a value, with changes to parts and bytes."""
    return changed(value).map(msgspec.json.encode).flatmap(changed_bytes)
