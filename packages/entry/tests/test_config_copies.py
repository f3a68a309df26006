"""Copies of the configuration that VMs fetch from each other."""

import random

import msgspec
import pytest
from hornbeamstand_core.discovery import ConfigEntry, InvalidEntry
from hornbeamstand_entry.edge import config_copies
from hornbeamstand_entry.edge.config_copies import (
    ConfigCopies,
    compress_copy,
    decompress_copy,
)

# Bandwidth of a small VM's link.
SMALL_LINK_BYTES_PER_S = 5_000_000 / 8
# Maximum time in which that link transfers a copy, within the limit for a new version.
COPY_MAX_S = 0.25


def make_large_config():
    rng = random.Random(1)

    def name():
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=8))

    routes = [
        {
            "Name": name(),
            "Prefix": f"/{name()}/{name()}/",
            "RouteType": "idempotent",
            "Timeout": "1500ms",
            "Goal": "600ms",
            "Priority": 2,
            "Attempts": 2,
            "Backend": "shop",
        }
        for _ in range(2000)
    ]
    return msgspec.json.encode({"Paths": routes})


def test_compressed_copy_of_thousands_of_routes_fits_a_small_link():
    """Guards against slow copies after 1,900 new routes that 100 VMs copy at once."""
    raw = make_large_config()
    compressed = compress_copy(raw)
    assert decompress_copy(compressed) == raw
    assert len(compressed) / SMALL_LINK_BYTES_PER_S < COPY_MAX_S


@pytest.mark.parametrize("compressed", [b"", b"none", compress_copy(b"x" * 100)[:-3]])
def test_invalid_copy_raises_value_error(compressed):
    with pytest.raises(ValueError, match=r"."):
        decompress_copy(compressed)


def test_copy_larger_than_the_limit_raises_value_error(monkeypatch):
    monkeypatch.setattr(config_copies, "COPY_MAX_BYTES", 50)
    with pytest.raises(ValueError, match="longer"):
        decompress_copy(compress_copy(b"x" * 100))


class Answer:
    def __init__(self, status_code, body):
        self.status_code = status_code
        self.body = body


class Fetch:
    ip = "10.0.0.2"
    version = 7


class Log:
    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append(event)


class ControlTask:
    def __init__(self):
        self.posted = []

    def post(self, message):
        self.posted.append(message)


def take_answer(answer, decode=lambda raw: ConfigEntry("k", None, raw)):
    log, control_task = Log(), ControlTask()
    copies = ConfigCopies(None, 1, decode, control_task, None, log)
    copies._take_answer(Fetch, answer)
    return log.events, control_task.posted


def test_complete_copy_is_posted_to_the_control_task():
    events, posted = take_answer(Answer(200, compress_copy(b"raw")))
    assert events == ["config: copied"]
    assert posted[0].records[0].raw == b"raw"


@pytest.mark.parametrize(
    "answer", [None, Answer(404, b""), Answer(200, b"none"), Answer(200, b"")]
)
def test_failed_fetch_is_logged_and_posts_nothing(answer):
    events, posted = take_answer(answer)
    assert events == ["config: no copy"]
    assert posted == []


def test_copy_that_fails_to_decode_is_posted_as_an_invalid_entry():
    _, posted = take_answer(
        Answer(200, compress_copy(b"x")), lambda raw: InvalidEntry("k", "why")
    )
    assert isinstance(posted[0].records[0], InvalidEntry)
