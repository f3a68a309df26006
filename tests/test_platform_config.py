"""Tests of the platform adapter: the configuration in the store."""

import pytest
from hornbeamstand_core.discovery import ConfigEntry, InvalidEntry
from hornbeamstand_platform import records

from .platform_samples import CONFIG, encoded

NUMBERS = [10**401, 2**64, -1, 1e300, True, "1", None, [1]]


@pytest.mark.parametrize("value", NUMBERS)
def test_a_configuration_with_a_number_out_of_range_is_invalid(value):
    vhost, service = CONFIG["Vhosts"][0], CONFIG["Services"][0]
    split = {"Backend": "shop", "Weight": value}
    changes = [
        {"Vhosts": [{**vhost, "Paths": [{**vhost["Paths"][0], **change}]}]}
        for change in ({"Attempts": value}, {"Priority": value})
    ]
    changes.append(
        {
            "Vhosts": [
                {**vhost, "Paths": [{**vhost["Paths"][0], "TrafficSplit": [split]}]}
            ]
        }
    )
    changes += [
        {"Services": [{**service, "MaxConns": value}]},
        {"Services": [{**service, "WarmupPerS": value}]},
        {"Limits": {**CONFIG["Limits"], "MaxHeaderBytes": value}},
        {"Version": f"r{value}"},
    ]
    for change in changes:
        if change == {"Version": "r1"}:
            continue
        found = records.decode_record("op/config", encoded(CONFIG, **change))
        assert isinstance(found, InvalidEntry), change


def test_configuration_is_decoded_into_routes():
    found = records.decode_record("op/config", encoded(CONFIG))
    assert isinstance(found, ConfigEntry)
    config = found.config
    assert config.version == 7
    split = config.find("h.example", "/a/x")
    assert [
        (weighted.service_name, weighted.weight) for weighted in split.weighted_services
    ] == [
        ("shop", 90.0),
        ("depot", 10.0),
    ]
    assert (split.is_idempotent, split.timeout_ms, split.objective_ms) == (
        True,
        1200.0,
        600.0,
    )
    plain = config.find("h.example", "/b/")
    assert (plain.is_idempotent, plain.timeout_ms) == (False, 1500.0)
    rules = config.services["shop"]
    assert (rules.cold_ms, rules.cold_rate_per_s) == (3000.0, 3.1)
    assert config.limits.idle_ms == 15000.0


@pytest.mark.parametrize("value", [-1, None, "", ["/health"]])
def test_a_configuration_with_a_name_that_is_no_text_is_invalid(value):
    service = {**CONFIG["Services"][0], "HealthPath": value}
    found = records.decode_record("op/config", encoded(CONFIG, Services=[service]))
    assert isinstance(found, InvalidEntry)
    vhost = CONFIG["Vhosts"][0]
    path = {**vhost["Paths"][0], "Name": value}
    vhosts = [{**vhost, "Paths": [path]}]
    found = records.decode_record("op/config", encoded(CONFIG, Vhosts=vhosts))
    assert isinstance(found, InvalidEntry)


@pytest.mark.parametrize("path", ["/\u20ac", "/a b", "/a\r\nX: y", "/\x00"])
def test_a_configuration_whose_health_path_no_request_can_hold_is_invalid(path):
    service = {**CONFIG["Services"][0], "HealthPath": path}
    found = records.decode_record("op/config", encoded(CONFIG, Services=[service]))
    assert isinstance(found, InvalidEntry)


@pytest.mark.parametrize("version", [7, "7", "r", "r-1", "r1_0", "r 1", "r1.5"])
def test_a_configuration_with_a_malformed_version_is_invalid(version):
    found = records.decode_record("op/config", encoded(CONFIG, Version=version))
    assert isinstance(found, InvalidEntry)
