"""Targets that VMs copy from each other, and targets that are asked for themselves."""

import msgspec
import pytest
from hornbeamstand_core.discovery import DomainOutOfService, TargetEntry
from hornbeamstand_core.edge_messages import TargetNotice
from hornbeamstand_core.messages import CONNECT_FAILED, SendFailure
from hornbeamstand_core.target_copy_messages import (
    ConfirmTarget,
    HeldTarget,
    TargetCopy,
)
from hornbeamstand_entry.clock import make_process_clock
from hornbeamstand_entry.edge import target_copies
from hornbeamstand_entry.edge.config_copies import compress_copy, decompress_copy
from hornbeamstand_entry.edge.dialect import Dialect, HeaderNames
from hornbeamstand_entry.edge.target_confirmations import TargetConfirmations
from hornbeamstand_entry.edge.target_copies import TargetCopies
from hornbeamstand_entry.edge.target_copy_codec import (
    decode_target_copy,
    encode_target_copy,
)
from hornbeamstand_entry.tasks.exchange import ExchangeResult
from hypothesis import given

from tests.fuzz_values import changed

NAMES = HeaderNames("Id", "Left", "Seal", "Not-Run", "Expect", "Load", target_id="Me")
TIMEOUT_MS = 60.0
SILENT = object()
CLOCK = make_process_clock()


def make_copy():
    entries = [
        TargetEntry(f"k/{i}", f"t{i}", "shop", f"10.0.0.{i}:80", "a", 3, "ready", 250.0)
        for i in range(2)
    ]
    targets = [HeldTarget(entry, entry.key == "k/1", 40.0) for entry in entries]
    return TargetCopy(targets, [DomainOutOfService("op/c", "c")], 900.0, 7, 2)


COPY_BYTES = encode_target_copy(make_copy())
COPY_VALUES = msgspec.msgpack.decode(decompress_copy(COPY_BYTES))


def test_a_copy_is_read_as_it_was_written():
    assert decode_target_copy(COPY_BYTES) == make_copy()


@pytest.mark.fuzz
@given(changed(COPY_VALUES))
def test_a_copy_with_odd_values_is_decoded_or_refused(values):
    try:
        raw = msgspec.msgpack.encode(values)
    except OverflowError:
        return
    try:
        copy = decode_target_copy(compress_copy(raw))
    except ValueError:
        return
    assert decode_target_copy(encode_target_copy(copy)) == copy


class Answer:
    def __init__(self, status_code, body=b"", **headers):
        self.status_code = status_code
        self.body = body
        self.get = headers.get


class FakePools:
    """Gives each address the answer that is set for it; others never answer."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    def post(self, address, exchange):
        self.asked.append(address)
        answer = self.answers.get(address, SILENT)
        if answer is not SILENT:
            exchange.reply_to.put(ExchangeResult(exchange, answer))


class Log:
    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append((event, fields["peer"]))


def fetch(**answers):
    """Ask the peers a, b and c; return the result, the peers asked and the log."""
    log = Log()
    pools = FakePools({f"{ip}:1": answer for ip, answer in answers.items()})
    copies = TargetCopies(pools, 1, None, CLOCK, log)
    return copies._fetch(["a", "b", "c"]), pools.asked, log.events


@pytest.fixture
def short_waits(monkeypatch):
    monkeypatch.setattr(target_copies, "COPY_TIMEOUT_MS", TIMEOUT_MS)
    monkeypatch.setattr(target_copies, "NEXT_PEER_MS", TIMEOUT_MS / 4.0)


@pytest.mark.parametrize(
    "first",
    [
        SILENT,
        SendFailure(CONNECT_FAILED, False, "a"),
        Answer(404),
        Answer(400, b"no terms"),
        Answer(200, b"none"),
        Answer(200, compress_copy(b"\xc1")),
        Answer(200, compress_copy(msgspec.msgpack.encode([[], [], -1, 0, 0]))),
    ],
)
def test_the_next_peer_is_asked_after_one_without_a_copy(short_waits, first):
    fetched, asked, events = fetch(a=first, b=Answer(200, COPY_BYTES))
    assert (fetched.ip, fetched.copy) == ("b", make_copy())
    assert asked == ["a:1", "b:1"]
    assert events == ([] if first is SILENT else [("targets: peer has none", "a")])


def test_a_round_without_a_copy_ends_in_time(short_waits):
    started_at_ms = CLOCK.now_ms()
    fetched, asked, events = fetch(b=Answer(404))
    assert (fetched.copy, len(asked), len(events)) == (None, 3, 3)
    assert CLOCK.now_ms() - started_at_ms < 3.0 * TIMEOUT_MS


def test_only_targets_that_answer_as_the_same_ones_are_confirmed():
    leaving = TargetNotice(is_leaving=True)
    dialect = Dialect(NAMES, None, "", "", None, None, None, None, lambda *_: leaving)
    answers = {
        "10.0.0.1:80": Answer(200, Me="t1"),
        "10.0.0.2:80": Answer(200, Me="other"),
        "10.0.0.3:80": Answer(503, Me="t3"),
        "10.0.0.4:80": SendFailure(CONNECT_FAILED, False, "t4"),
    }
    confirmations = TargetConfirmations(FakePools(answers), None, dialect, CLOCK)
    entries = [
        TargetEntry(f"k/{i}", f"t{i}", "shop", f"10.0.0.{i}:80", "a", 3)
        for i in range(1, 6)
    ]
    result = confirmations._confirm([ConfirmTarget(item, "/up") for item in entries])
    assert (result.keys, result.notices) == (["k/1"], {"k/1": leaving})


@pytest.mark.parametrize(
    ("address", "target_id"),
    [
        ("10.0.0.1\u4e2d:80", "t1"),
        ("10.0.0.1:80\r\nA: b", "t1"),
        ("10.0.0.1:80", "t\u4e2d"),
        ("10.0.0.1:80", "t\r\nA: b"),
    ],
)
def test_a_copy_whose_texts_fit_no_request_is_refused(address, target_id):
    """Guards against probes of targets that end the process."""
    entry = TargetEntry("k/1", target_id, "shop", address, "a", 3)
    raw = encode_target_copy(TargetCopy([HeldTarget(entry)], [], 0.0))
    with pytest.raises(ValueError):
        decode_target_copy(raw)
