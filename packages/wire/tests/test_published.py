"""Tests of publishing with concurrent edits, old checkouts and lost responses."""

import json

from hornbeamstand_core.config import Configuration
from hornbeamstand_core.errors import ConfigError, ConflictError, PlatformError
from hornbeamstand_wire.folder import digest, merge_texts, read_folder
from hornbeamstand_wire.platform import PlatformClient
from hornbeamstand_wire.published import fetch_texts, publish, read_head
from hornbeamstand_wire.reference import list_classes
from hornbeamstand_wire.schema import describe_allowed, list_fields
from result import Err, Ok

DOMAINS = json.dumps({"failure_domains": {"fd0": {}}})


class FakeStore(PlatformClient):
    """A client with the store in memory instead of HTTP calls.

    The next ``n_failures`` calls fail without effect. The next ``n_lost_responses``
    writes take effect but report an error. ``before_put`` is called once, before the
    next write of the head.
    """

    def __init__(self):
        self.values = {}
        self.n_lost_responses = 0
        self.n_failures = 0
        self.n_puts = 0
        self.before_put = None

    def _call(self, step, method, path, body=None):
        key = path.removeprefix("/v1/kv/")
        if self.n_failures > 0:
            self.n_failures -= 1
            return Err(PlatformError(step, key, "down"))
        if method == "GET":
            value, revision = self.values.get(key, (None, 0))
            return Ok({"value": value, "revision": revision})
        return self._put(step, key, body)

    def _put(self, step, key, body):
        if self.before_put is not None and key == "config/head":
            hook, self.before_put = self.before_put, None
            hook()
        revision = self.values.get(key, (None, 0))[1]
        if body["expected_revision"] != revision:
            return Err(ConflictError(step, key, "revision differs"))
        self.n_puts += 1
        self.values[key] = (body["value"], revision + 1)
        if self.n_lost_responses > 0:
            self.n_lost_responses -= 1
            return Err(PlatformError(step, key, "response lost"))
        return Ok({"revision": revision + 1})


def digests(texts):
    return {name: digest(text) for name, text in texts.items()}


def service(name, deadline_ms=100):
    target = {"address": "127.0.0.1:80", "failure_domain": "fd0"}
    body = {"targets": {"t": target}, "deadline_ms": deadline_ms}
    return json.dumps({"services": {name: body}})


def published_texts(store):
    return fetch_texts(store, read_head(store).unwrap()).unwrap()


def publish_first_version():
    store = FakeStore()
    texts = {"1.json": DOMAINS, "2.json": service("a")}
    head = publish(store, texts, {}).unwrap()
    return store, texts, head


def test_publish_writes_only_changed_files():
    store, texts, head = publish_first_version()
    n_puts = store.n_puts
    edited = {**texts, "2.json": service("a", 200)}
    head = publish(store, edited, head.digests()).unwrap()
    assert head.version == 2
    assert head.files["1.json"].version == 1
    assert store.n_puts == n_puts + 2


def test_unchanged_folder_keeps_the_version():
    store, texts, head = publish_first_version()
    assert publish(store, texts, head.digests()).unwrap().version == 1


def test_invalid_folder_changes_nothing():
    store, texts, head = publish_first_version()
    before = dict(store.values)
    bad = {**texts, "2.json": service("a", -1)}
    error = publish(store, bad, head.digests()).unwrap_err()
    assert isinstance(error, ConfigError)
    assert error.peer == "2.json"
    assert "services.a.deadline_ms" in error.detail
    assert store.values == before


def test_older_checkout_keeps_newer_published_edits():
    store, texts, head = publish_first_version()
    base = head.digests()
    publish(store, {**texts, "2.json": service("a", 200)}, base).unwrap()
    publish(store, {**texts, "3.json": service("b")}, base).unwrap()
    assert published_texts(store)["2.json"] == service("a", 200)
    assert published_texts(store)["3.json"] == service("b")


def test_conflict_error_names_both_sides():
    store, texts, head = publish_first_version()
    base = head.digests()
    publish(store, {**texts, "2.json": service("a", 200)}, base).unwrap()
    error = publish(store, {**texts, "2.json": service("a", 300)}, base).unwrap_err()
    assert isinstance(error, ConflictError)
    assert error.peer == "2.json"
    assert "this folder" in error.detail
    assert "version 2" in error.detail


def test_racing_publishers_do_not_lose_an_edit():
    store, texts, head = publish_first_version()
    base = head.digests()

    def publish_concurrently():
        publish(store, {**texts, "3.json": service("b")}, base).unwrap()

    store.before_put = publish_concurrently
    edited = {**texts, "2.json": service("a", 200)}
    assert isinstance(publish(store, edited, base).unwrap_err(), ConflictError)
    assert publish(store, edited, base).unwrap().version == 3
    assert published_texts(store)["3.json"] == service("b")
    assert published_texts(store)["2.json"] == service("a", 200)


def test_write_with_lost_response_is_read_back():
    store, texts, head = publish_first_version()
    edited = {**texts, "2.json": service("a", 200)}

    def lose_response():
        store.n_lost_responses = 1
        store.n_failures = 0

    store.before_put = lose_response
    assert publish(store, edited, head.digests()).unwrap().version == 2
    assert read_head(store).unwrap().version == 2


def test_publish_without_platform_fails_and_changes_nothing():
    store, texts, head = publish_first_version()
    store.n_failures = 1000
    edited = {**texts, "2.json": service("a", 200)}
    assert isinstance(
        publish(store, edited, head.digests()).unwrap_err(), PlatformError
    )
    store.n_failures = 0
    assert read_head(store).unwrap().version == 1


def test_file_removed_from_folder_is_unpublished():
    store, texts, head = publish_first_version()
    texts = {**texts, "3.json": service("b")}
    head = publish(store, texts, head.digests()).unwrap()
    del texts["3.json"]
    publish(store, texts, head.digests()).unwrap()
    assert "3.json" not in published_texts(store)


def test_later_files_override_single_fields():
    texts = {
        "1.json": DOMAINS,
        "2.json": service("a", 100),
        "9.json": json.dumps({"services": {"a": {"deadline_ms": 300}}}),
    }
    merged = merge_texts(texts).unwrap()
    assert merged.services["a"].deadline_ms == 300
    assert list(merged.services["a"].targets) == ["t"]


def test_errors_name_file_and_field():
    cases = {
        '{"services": {"a": {"targets": {}, "bogus": 1}}}': "services.a",
        '{"services": {"a": {"targets": {"t": {}}}}}': "services.a.targets.t",
        '{"services": {"a": {"targets": {}, "priority": 10}}}': "services.a.priority",
        '{"services": {"a": {"targets": {}, "routes": [{"method": 1}]}}}': "routes.0",
        '{"failure_domains": {"fd0": {"state": "gone"}}}': "failure_domains.fd0.state",
        "[]": "(top)",
        "{": "truncated",
    }
    for text, expected in cases.items():
        error = merge_texts({"1.json": DOMAINS, "2.json": text}).unwrap_err()
        assert error.peer == "2.json", text
        assert expected in error.detail, text


def service_with(**fields):
    return json.dumps({"services": {"a": {"targets": {}, **fields}}})


def test_errors_state_what_was_found_and_what_is_allowed():
    cases = {
        service_with(bogus=1): "services.a.bogus: is unknown, expected one of targets,",
        service_with(priority=10): (
            "services.a.priority: found 10, expected an integer from 0 to 9"
        ),
        service_with(routes=[{"method": 1}]): (
            "services.a.routes.0.method: found 1, expected text"
        ),
        service_with(routes=["x"]): (
            'services.a.routes[0]: found "x", expected an object'
        ),
        service_with(targets=[]): (
            "services.a.targets: found a list, expected an object"
        ),
        service_with(targets={"t": {}}): (
            "services.a.targets.t.address: is missing, expected an IP address and a"
            " port, such as 10.1.0.7:8080"
        ),
        service_with(deadline_ms=3000): (
            "services.a.deadline_ms: found 3000, expected at most deadline_max_ms,"
            " which is 2000"
        ),
        '{"failure_domains": {"fd0": {"state": "gone"}}}': (
            'failure_domains.fd0.state: found "gone", expected one of in, out'
        ),
        '{"bogus": 1}': "bogus: is unknown, expected one of services, failure_domains",
    }
    for text, expected in cases.items():
        error = merge_texts({"1.json": DOMAINS, "2.json": text}).unwrap_err()
        assert error.peer == "2.json", text
        assert error.detail.startswith(f"field {expected}"), text


def test_error_about_a_name_with_a_line_break_is_one_line():
    error = merge_texts({"1.json": '{"a\\nb": 1}'}).unwrap_err()
    assert len(str(error).splitlines()) == 1
    assert "a\\nb" in str(error)


def test_every_field_has_a_text_of_what_it_allows():
    for cls in list_classes(Configuration):
        for field in list_fields(cls):
            assert describe_allowed(field)


def test_target_in_unknown_failure_domain_is_rejected():
    error = merge_texts({"2.json": service("a")}).unwrap_err()
    assert error.peer == "2.json"
    assert "unknown failure domain 'fd0', expected one of []" in error.detail


def test_missing_or_unreadable_folder_is_an_error(tmp_path):
    assert read_folder(tmp_path / "none").is_err()
    (tmp_path / "1.json").write_bytes(b"\xff\xfe")
    assert read_folder(tmp_path).unwrap_err().peer == "1.json"
    (tmp_path / "1.json").write_text("x" * 600_000)
    assert "larger" in read_folder(tmp_path).unwrap_err().detail
