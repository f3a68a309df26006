"""Property tests of what the platform, its store and its targets send."""

from base64 import b64encode
from math import isfinite

import msgspec
import pytest
from hornbeamstand_core.discovery import InvalidEntry
from hornbeamstand_core.records import Record
from hornbeamstand_platform import dialect, records, settings, store
from hypothesis import given
from hypothesis import strategies as st

from .fuzz_values import changed_bytes, json_like
from .platform_samples import CONFIG, SERVER, SETTINGS

pytestmark = pytest.mark.fuzz
VM = {"ip": "10.0.0.7"}
SAMPLES = {"servers/i-1": SERVER, "op/config": CONFIG, "hornbeamstand/vm/x": VM}
LOADS = st.sampled_from(["3,0,8", "1,0,3,100", "1,0,3,nan", "inf,0,3,1", "0,0,0,-5"])


def item_of(key, value):
    return {"Key": key, "Value": b64encode(msgspec.json.encode(value)).decode()}


ITEMS = [item_of(key, value) for key, value in SAMPLES.items()]
REMOVED = {"Key": "servers/i-2", "Rev": 7, "Tombstone": True}
PAGE = {"items": ITEMS, "HasMore": True, "AsOf": 9}
EVENTS = {"events": [*ITEMS, REMOVED], "AsOf": 9}


def numbers_of(record):
    """Return all numbers in a record, also those of records within it."""
    if isinstance(record, Record):
        parts = [getattr(record, name) for name in type(record).__slots__]
        return [n for part in parts for n in numbers_of(part)]
    if isinstance(record, dict):
        return [n for part in record.values() for n in numbers_of(part)]
    if isinstance(record, list | tuple):
        return [n for part in record for n in numbers_of(part)]
    is_number = isinstance(record, int | float) and not isinstance(record, bool)
    return [record] if is_number else []


@given(st.data(), st.sampled_from(sorted(SAMPLES)))
def test_any_entry_is_decoded_or_invalid(data, key):
    raw = data.draw(json_like(SAMPLES[key]))
    record = records.decode_record(key, raw)
    assert record is not None
    if not isinstance(record, InvalidEntry):
        assert all(isfinite(n) and n >= 0 for n in numbers_of(record))


@given(st.data())
def test_any_store_answer_is_decoded_or_a_value_error(data):
    decode, sample = data.draw(
        st.sampled_from(
            [
                (store.decode_page, PAGE),
                (store.decode_events, EVENTS),
                (store.decode_lease, {"Lease": 4, "Ttl_time": "60s"}),
            ]
        )
    )
    try:
        decode(data.draw(json_like(sample)))
    except ValueError:
        pass


@given(changed_bytes(SETTINGS.encode()))
def test_any_settings_file_is_loaded_or_an_error(tmp_path_factory, raw):
    path = tmp_path_factory.mktemp("settings") / "settings.toml"
    path.write_bytes(raw)
    loaded = settings.load_settings(str(path))
    if loaded.is_err():
        assert str(path) in str(loaded.err_value)


@given(LOADS | st.text(alphabet="0123456789,.-+einfa ", max_size=20))
def test_any_load_figures_are_a_report_of_finite_numbers_or_none(text):
    report = dialect.decode_load(text)
    if report is not None:
        assert min(report.n_running, report.n_waiting, report.n_slots) >= 0
        assert report.slowdown is None or 0 < report.slowdown < float("inf")


@given(st.text(max_size=30))
def test_any_lookup_query_names_a_host_and_a_domain(query):
    host, failure_domain = dialect.read_lookup(query)
    assert isinstance(host, str) and isinstance(failure_domain, str)
