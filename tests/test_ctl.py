"""Runs hornbeamctl against a platform that runs in another process."""

import json
import shutil

import pytest

from standins.cluster import Cluster

DOMAINS = {"failure_domains": {"fd0": {}}}


@pytest.fixture(scope="module")
def cluster():
    with Cluster(["fd0"]) as running_cluster:
        running_cluster.start_platform()
        yield running_cluster


def write(folder, name, body):
    folder.mkdir(exist_ok=True)
    (folder / name).write_text(json.dumps(body))


def service(deadline_ms):
    target = {"address": "127.0.0.1:80", "failure_domain": "fd0"}
    return {"services": {"a": {"targets": {"t": target}, "deadline_ms": deadline_ms}}}


def test_check_names_file_and_field(cluster, tmp_path):
    write(tmp_path / "one", "1.json", DOMAINS)
    write(tmp_path / "one", "2.json", service(0))
    with pytest.raises(RuntimeError, match=r"2\.json: field services\.a\.deadline_ms"):
        cluster.ctl("check", str(tmp_path / "one"))


def test_two_checkouts_publish_without_undoing_each_other(cluster, tmp_path):
    one, two = tmp_path / "one", tmp_path / "two"
    write(one, "1.json", DOMAINS)
    write(one, "2.json", service(100))
    assert "published: version 1" in cluster.publish(one)
    shutil.copytree(one, two)
    write(one, "2.json", service(200))
    assert "changed: 2.json" in cluster.ctl(
        "diff", str(one), "--platform", cluster.platform_address
    )
    assert "published: version 2" in cluster.publish(one)
    write(two, "3.json", {"failure_domains": {"fd1": {}}})
    assert "taken over: 2.json" in cluster.publish(two)
    assert json.loads((two / "2.json").read_text()) == service(200)
    assert "no difference" in cluster.ctl(
        "diff", str(two), "--platform", cluster.platform_address
    )
    write(one, "3.json", {"failure_domains": {"fd2": {}}})
    with pytest.raises(RuntimeError, match=r"3\.json: changed both in this folder"):
        cluster.publish(one)


def test_platform_that_is_down_is_named(cluster, tmp_path):
    write(tmp_path / "one", "1.json", DOMAINS)
    cluster.set_faults(mode="down")
    with pytest.raises(RuntimeError, match=r"platform\.get"):
        cluster.publish(tmp_path / "one")
    cluster.set_faults(mode="ok")


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:", ":80", "h:99999", "h:x"])
def test_an_invalid_address_is_named(cluster, tmp_path, address):
    write(tmp_path / "one", "1.json", DOMAINS)
    with pytest.raises(RuntimeError, match="expected a host and a port"):
        cluster.ctl("status", address)
    with pytest.raises(RuntimeError, match="expected a host and a port"):
        cluster.ctl("diff", str(tmp_path / "one"), "--platform", address)


def test_watch_reports_a_missing_folder_once(cluster, tmp_path, monkeypatch, capsys):
    from hornbeamstand_ctl import main

    class Ended(Exception):
        pass

    rounds = iter([None, None, Ended()])

    def sleep(_):
        if isinstance(step := next(rounds), Exception):
            raise step

    monkeypatch.setattr(main.time, "sleep", sleep)
    with pytest.raises(Ended):
        main.watch(str(tmp_path / "none"), cluster.platform_address)
    assert capsys.readouterr().err.count("error: ") == 1
