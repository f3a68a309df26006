"""Property tests of the operators' folder: any files merge or are an error."""

import json
from pathlib import Path

import pytest
from hornbeamstand_core.config import Configuration
from hornbeamstand_wire.folder import merge_texts, read_folder
from hypothesis import given
from hypothesis import strategies as st

from tests.fuzz_values import changed, changed_bytes

pytestmark = pytest.mark.fuzz
EXAMPLE = Path(__file__).parents[3] / "examples" / "tuul"
TEXTS = read_folder(EXAMPLE).unwrap()


def assert_merged_or_located(texts):
    """Check that files merge, or that the error names one of them or the folder."""
    merged = merge_texts(texts)
    if merged.is_ok():
        assert isinstance(merged.ok_value, Configuration)
        return
    assert any(name in str(merged.err_value) for name in [*texts, "folder"])


@given(st.data(), st.sampled_from(sorted(TEXTS)))
def test_files_with_changed_values_merge_or_are_an_error(data, name):
    value = data.draw(changed(json.loads(TEXTS[name])))
    assert_merged_or_located({**TEXTS, name: json.dumps(value)})


@given(st.data(), st.sampled_from(sorted(TEXTS)))
def test_files_with_changed_bytes_are_read_or_an_error(tmp_path_factory, data, name):
    folder = tmp_path_factory.mktemp("folder")
    for other, text in TEXTS.items():
        folder.joinpath(other).write_text(text)
    folder.joinpath(name).write_bytes(data.draw(changed_bytes(TEXTS[name].encode())))
    texts = read_folder(folder)
    if texts.is_err():
        assert name in str(texts.err_value)
    else:
        assert_merged_or_located(texts.ok_value)
