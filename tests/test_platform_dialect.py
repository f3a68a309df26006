"""Tests of the platform adapter: load figures of targets, and lookups."""

import msgspec
import pytest
from hornbeamstand_platform import dialect


@pytest.mark.parametrize(
    "text",
    [
        *["1,0,3,nan", "1,0,3,inf", "1,0,3,-5", "1,0,3,0", "1,0,3,1e300"],
        *["-1,0,3", "1,-1,3,100", "1,0,-3", "1e300,0,3", "1,0," + "9" * 400],
    ],
)
def test_load_figures_out_of_range_are_no_report(text):
    assert dialect.decode_load(text) is None


@pytest.mark.parametrize(
    ("text", "expected"),
    [("3,0,8", (3, 0, 8, None)), ("2,1,3,400", (2, 1, 3, 4.0))],
)
def test_load_header_is_decoded(text, expected):
    report = dialect.decode_load(text)
    found = (report.n_running, report.n_waiting, report.n_slots, report.slowdown)
    assert found == expected


@pytest.mark.parametrize("text", ["", "1,2", "a,b,c", "inf,0,1", "nan,0,1"])
def test_malformed_load_header_is_ignored(text):
    assert dialect.decode_load(text) is None


def test_lookup_query_and_response():
    assert dialect.read_lookup("Name=h.example&Region=r&Zone=a") == ("h.example", "a")
    assert dialect.read_lookup("") == ("", "")
    raw = dialect.encode_lookup(["10.0.0.1:80"], 600.0)
    assert msgspec.json.decode(raw) == {"Addresses": ["10.0.0.1:80"], "Ttl": "600ms"}
