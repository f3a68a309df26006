"""Property tests: what one VM encodes, another decodes to the same message."""

import pytest
from hornbeamstand_core.balancer_messages import CapacityReport
from hornbeamstand_core.edge_node_messages import Contacts, EdgeHeartbeat
from hornbeamstand_core.messages import Answer, Refusal
from hornbeamstand_core.order_messages import SendOrders, StoredOrder
from hornbeamstand_core.peer_messages import HandOverRecord, Heartbeat
from hornbeamstand_entry.edge.config_copies import compress_copy, decompress_copy
from hornbeamstand_entry.edge.heartbeats import (
    decode_contacts,
    decode_heartbeat,
    encode_contacts,
    encode_heartbeat,
)
from hornbeamstand_entry.edge.store_era import ERA_MAX
from hornbeamstand_entry.peer_codec import (
    KeptResponse,
    decode_datagram,
    decode_orders,
    encode_datagram,
    encode_orders,
    orders_path,
)
from hypothesis import given
from hypothesis import strategies as st

pytestmark = pytest.mark.fuzz
names = st.text(max_size=8)
counts = st.integers(0, 1 << 40)
times = st.floats(0, 1e12)
flags = st.booleans()
ips = st.ip_addresses(v=4).map(str)
capacity_reports = st.builds(CapacityReport, names, names, counts, counts, times)
hand_overs = st.builds(
    HandOverRecord,
    names,
    names,
    counts,
    counts,
    counts,
    st.dictionaries(names, counts, max_size=3),
    names,
    times,
    st.none() | times,
    names,
)
heartbeats = st.builds(
    Heartbeat,
    names,
    names,
    counts,
    counts,
    times,
    st.none() | times,
    st.none() | times,
    st.dictionaries(names, times, max_size=3),
    st.lists(names, max_size=3),
    st.lists(hand_overs, max_size=2),
    st.dictionaries(names, counts, max_size=3),
    st.lists(capacity_reports, max_size=2),
)
edge_heartbeats = st.builds(
    EdgeHeartbeat,
    ips,
    names,
    counts,
    flags,
    flags,
    flags,
    flags,
    flags,
    flags,
    st.integers(-9, 9),
    counts,
    counts,
    counts,
    st.integers(0, ERA_MAX),
)
kept_responses = st.builds(
    KeptResponse, names, st.lists(st.lists(names, min_size=2, max_size=2)), st.binary()
)
answers = st.builds(Answer, st.integers(200, 599), kept_responses, names)
refusals = st.builds(Refusal, names, names, st.integers(400, 599), names, names)
orders = st.builds(
    StoredOrder,
    names,
    names,
    names,
    st.none() | answers | refusals,
    times,
    names,
    counts,
)


@given(heartbeats | capacity_reports)
def test_datagrams_are_decoded_as_they_were_encoded(message):
    assert decode_datagram(encode_datagram(message)) == message


@given(edge_heartbeats)
def test_heartbeats_of_edge_vms_are_decoded_as_they_were_encoded(heartbeat):
    assert decode_heartbeat(encode_heartbeat(heartbeat), heartbeat.ip) == heartbeat


@given(st.lists(ips, max_size=300))
def test_contacts_are_decoded_as_they_were_encoded(addresses):
    assert decode_contacts(encode_contacts(Contacts(addresses))).ips == addresses


@given(names, st.lists(orders, max_size=3), counts, flags)
def test_orders_are_decoded_as_they_were_encoded(sender_id, sent, version, is_lost):
    message = SendOrders("peer", sent, version, is_lost, version)
    query = orders_path(message).partition("?")[2]
    received = decode_orders(encode_orders(sender_id, message), query)
    assert received.sender_id == sender_id
    assert received.orders == sent
    assert (received.transfer_version, received.is_history_lost) == (version, is_lost)
    assert received.config_version == version


@given(st.binary(max_size=400))
def test_copies_are_decompressed_as_they_were_compressed(raw):
    assert decompress_copy(compress_copy(raw)) == raw
