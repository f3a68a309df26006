"""A merge with a cache must give the same result as a merge without one."""

import json

from hornbeamstand_core.config import Configuration
from hornbeamstand_wire.folder import MergeCache, merge_texts
from hypothesis import given, settings
from hypothesis import strategies as st

NAMES = st.sampled_from(["a", "b", "c"])
TARGET = {"address": "127.0.0.1:80", "failure_domain": "fd0"}
SERVICE = st.fixed_dictionaries(
    {},
    optional={
        "deadline_ms": st.sampled_from([1, 100, 5000]),
        "priority": st.sampled_from([0, 9, 10]),
        "targets": st.sampled_from([{}, {"t": TARGET}, {"u": TARGET, "t": TARGET}]),
        "retry": st.sampled_from([{}, {"budget_ratio": 0.5}, {"bogus": 1}]),
    },
)
FILE = st.fixed_dictionaries(
    {},
    optional={
        "services": st.dictionaries(NAMES, SERVICE, max_size=2),
        "failure_domains": st.sampled_from([{"fd0": {}}, {"fd0": {"state": "out"}}]),
    },
)
EDITS = st.lists(st.tuples(st.sampled_from(["1.json", "2.json", "3.json"]), FILE))


def outcome(result):
    if result.is_err():
        return str(result.err_value)
    configuration = result.ok_value
    assert isinstance(configuration, Configuration)
    return configuration.services, configuration.failure_domains


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(EDITS)
def test_cached_merge_equals_a_merge_from_nothing(edits):
    cache = MergeCache()
    texts = {}
    for name, body in edits:
        texts[name] = json.dumps(body)
        assert outcome(merge_texts(texts, cache)) == outcome(merge_texts(texts))


def test_unchanged_services_stay_the_same_objects():
    cache = MergeCache()
    texts = {"0.json": '{"failure_domains":{"fd0":{}}}'}
    for name in "ab":
        body = {"services": {name: {"targets": {"t": TARGET}}}}
        texts[f"{name}.json"] = json.dumps(body)
    before = merge_texts(texts, cache).unwrap()
    texts["b.json"] = texts["b.json"].replace("127.0.0.1:80", "127.0.0.1:81")
    after = merge_texts(texts, cache).unwrap()
    assert after.services["a"] is before.services["a"]
    assert after.services["b"] != before.services["b"]
