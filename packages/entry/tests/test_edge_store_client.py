"""The store client: pages without end, and answers of another era."""

from types import SimpleNamespace

import pytest
from hornbeamstand_core.discovery import StoreEraNoted
from hornbeamstand_entry.edge import store_client
from hornbeamstand_entry.edge.dialect import StoreCodec, StorePage, StoreRequest
from hornbeamstand_entry.edge.store_client import StoreClient
from hornbeamstand_entry.edge.store_era import ERA_MAX, ERA_STEP_MAX, StoreEra

# Maximum number of pages that the tests' store returns before the test fails.
N_PAGES_MAX = 10


class Log:
    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append(event)


def make_client(monkeypatch, pages, eras=(), status=200):
    """Return a client whose calls are answered with the given pages, in order.

    ``eras`` are the values of their header for the era; further ones have none.
    """
    headers = list(eras)

    def request_page(prefix, after_key, may_be_stale=False):
        return StoreRequest("GET", "/range")

    def decode_page(body):
        assert pages, f"more than {N_PAGES_MAX} pages were read"
        return pages.pop(0)

    def read_header(name):
        assert name == "Era"
        return headers.pop(0) if headers else None

    answer = SimpleNamespace(status_code=status, body=b"", get=read_header)
    monkeypatch.setattr(store_client, "call", lambda *args, **options: answer)
    codec = StoreCodec(
        request_page,
        *[None] * 4,
        decode_page,
        *[None] * 3,
        operator_prefix="op/",
        era_header="Era",
    )
    return StoreClient("10.0.0.1:80", codec, None, None, 100.0, StoreEra(Log()))


def test_all_pages_are_read_and_the_lowest_revision_counts(monkeypatch):
    pages = [StorePage(["a"], 7, "a", True), StorePage(["b"], 6, "b", False)]
    page = make_client(monkeypatch, pages).read_all("").ok_value
    assert (page.records, page.revision) == (["a", "b"], 6)


@pytest.mark.parametrize("last_key", ["a", ""])
def test_pages_that_do_not_advance_are_an_error(monkeypatch, last_key):
    pages = [StorePage(["a"], 7, "a", True)]
    pages += [StorePage(["a"], 7, last_key, True) for _ in range(N_PAGES_MAX)]
    result = make_client(monkeypatch, pages).read_all("")
    assert "not after 'a'" in str(result.err_value)


def read_in_eras(monkeypatch, eras, status=200):
    """Read once for each era; return the client, the results and the reports."""
    pages = [StorePage(["a"], 7, "a") for _ in eras]
    client = make_client(monkeypatch, pages, eras, status)
    reports = []
    client.eras.report = reports.append
    return client, [client.read_all("") for _ in eras], reports


def test_an_answer_of_a_later_era_is_dropped_and_reported(monkeypatch):
    _, results, reports = read_in_eras(monkeypatch, ["3", "4", "4"])
    assert [result.is_ok() for result in results] == [True, False, True]
    assert reports == [StoreEraNoted(3), StoreEraNoted(4, 3)]


def test_an_answer_of_an_earlier_era_is_dropped(monkeypatch):
    client, results, reports = read_in_eras(monkeypatch, ["4", "3", "4"])
    assert [result.is_ok() for result in results] == [True, False, True]
    assert reports == [StoreEraNoted(4)]
    assert client.eras.log.events == ["store: odd era"]


def test_an_error_states_an_era_too(monkeypatch):
    _, _, reports = read_in_eras(monkeypatch, ["3", "4"], status=503)
    assert reports == [StoreEraNoted(3), StoreEraNoted(4, 3)]


@pytest.mark.parametrize(
    "text", ["", "x", "-1", "1.5", "9" * 400, str(ERA_MAX + 1), "\u0664"]
)
def test_an_era_that_is_no_number_is_no_change_and_logged_once(monkeypatch, text):
    client, results, reports = read_in_eras(monkeypatch, ["4", text, None, text])
    assert [result.is_ok() for result in results] == [True] * 4
    assert reports == [StoreEraNoted(4)]
    assert client.eras.log.events == ["store: odd era"]


def test_an_era_that_is_far_too_high_is_no_change(monkeypatch):
    """Guards against a VM that drops all later answers until it is started again."""
    far = str(3 + ERA_STEP_MAX + 1)
    _, results, reports = read_in_eras(monkeypatch, ["3", far, "4", "4"])
    assert [result.is_ok() for result in results] == [True, True, False, True]
    assert reports == [StoreEraNoted(3), StoreEraNoted(4, 3)]


def test_a_check_waits_no_longer_than_it_is_told_and_may_be_stale(monkeypatch):
    """Guards against peers that rely for seconds on a VM which is cut off."""
    client = make_client(monkeypatch, [StorePage([], 7, "")])
    waits_ms, are_stale = [], []
    monkeypatch.setattr(
        store_client, "call", lambda *args, **options: waits_ms.append(args[5])
    )
    request = client.codec.range_request
    client.codec.range_request = lambda *args: (
        are_stale.append(args[2]) or request("", "")
    )
    result = client.check("vm", 30.0)
    assert "no answer within 30 ms" in str(result.err_value)
    assert (waits_ms, are_stale) == ([30.0], [True])
