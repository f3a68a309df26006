"""The store client: pages without end."""

from types import SimpleNamespace

import pytest
from hornbeamstand_entry.edge import store_client
from hornbeamstand_entry.edge.dialect import StoreCodec, StorePage, StoreRequest
from hornbeamstand_entry.edge.store_client import StoreClient

# Maximum number of pages that the tests' store returns before the test fails.
N_PAGES_MAX = 10


def make_client(monkeypatch, pages):
    """Return a client whose calls are answered with the given pages, in order."""

    def request_page(prefix, after_key, may_be_stale=False):
        return StoreRequest("GET", "/range")

    def decode_page(body):
        assert pages, f"more than {N_PAGES_MAX} pages were read"
        return pages.pop(0)

    answer = SimpleNamespace(status_code=200, body=b"")
    monkeypatch.setattr(store_client, "call", lambda *args, **options: answer)
    codec = StoreCodec(
        request_page, *[None] * 4, decode_page, *[None] * 3, operator_prefix="op/"
    )
    return StoreClient("10.0.0.1:80", codec, None, None, 100.0)


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
