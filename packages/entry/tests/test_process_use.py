"""The limits of the process and what it uses of them."""

import errno
import os
import resource
import subprocess
import sys
from math import inf

from hornbeamstand_entry import process_use
from hornbeamstand_entry.edge.metrics import EdgeMetrics
from hornbeamstand_entry.process_use import read_process_gauges


def test_a_limit_and_its_absence_are_readable_in_the_log():
    code = (
        "import resource;"
        "resource.setrlimit(resource.RLIMIT_AS, (1 << 30, 1 << 30));"
        "from hornbeamstand_entry.process_use import describe_limits;"
        "print(describe_limits())"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert "'address_space_limit_bytes': 1073741824" in ended.stdout
    data_limit, _ = resource.getrlimit(resource.RLIMIT_DATA)
    if data_limit == resource.RLIM_INFINITY:
        assert "'data_limit_bytes': 'unlimited'" in ended.stdout


def test_gauges_follow_the_descriptors_and_threads_of_the_process():
    before = read_process_gauges()
    reader, writer = os.pipe()
    after = read_process_gauges()
    os.close(reader)
    os.close(writer)
    assert after["descriptors"] == before["descriptors"] + 2
    assert after["threads"] >= 1
    assert after["address_space_bytes"] > after["resident_bytes"] > 1 << 20


def test_metrics_show_the_use_of_each_limit():
    text = EdgeMetrics().render().decode()
    for name in ("address_space", "data"):
        assert f"\nhornbeamstand_{name}_bytes " in text
        assert f"\nhornbeamstand_{name}_limit_bytes " in text
    for name in ("descriptors", "threads"):
        assert f"\nhornbeamstand_{name} " in text
        assert f"\nhornbeamstand_{name}_limit " in text
    if read_process_gauges()["address_space_limit_bytes"] == inf:
        assert "hornbeamstand_address_space_limit_bytes +Inf" in text


def test_the_gauges_show_the_limits_when_no_descriptor_is_left(monkeypatch):
    """Guards against a page of metrics that fails while a limit is reached."""

    def fail(*args):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(process_use, "open", fail, raising=False)
    monkeypatch.setattr(process_use.os, "listdir", fail)
    assert process_use.read_process_gauges() == process_use.read_limits()
