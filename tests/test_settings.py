"""Guards against nodes that start although a setting is invalid or missing."""

from __future__ import annotations

import argparse

import pytest

from jaypost import settings

REQUIRED = {
    "JAYPOST_NODE_ID": "n1",
    "JAYPOST_FAILURE_DOMAIN": "addis-a",
    "JAYPOST_REGION": "addis",
    "JAYPOST_STORE": "127.0.0.1:7500",
}


def load(environment, *flags):
    parser = argparse.ArgumentParser()
    settings.add_flags(parser)
    return settings.load(parser.parse_args(flags), environment)


@pytest.mark.parametrize(
    ("environment", "flags", "names"),
    [
        ({}, [], {"node_id", "failure_domain", "region", "store"}),
        (REQUIRED | {"JAYPOST_STORE": "store.example:1"}, [], {"store"}),
        (
            REQUIRED | {"JAYPOST_PUSH_FANOUT": "0", "JAYPOST_RAMP_S": "x"},
            [],
            {"push_fanout", "ramp_s"},
        ),
        (REQUIRED, ["--sync-interval-s", "9"], {"sync_interval_s"}),
        (REQUIRED, ["--listen-peer", "127.0.0.1:7600"], {"listen_caller"}),
        (REQUIRED, ["--listen-peer", "0.0.0.0:7601"], {"advertise_peer"}),
    ],
)
def test_all_problems_are_reported_together(environment, flags, names):
    loaded = load(environment, *flags)
    assert isinstance(loaded, settings.RefusedSettings)
    assert {problem.name for problem in loaded.problems} == names


def test_empty_variable_takes_the_default():
    """Guards against nodes that refuse to start where the platform has no value for a setting."""
    loaded = load(REQUIRED | {"JAYPOST_EXPOSURE_SHARE": ""})
    assert isinstance(loaded, settings.LoadedSettings)
    assert loaded.source_by_name["exposure_share"] == "default"


@pytest.mark.parametrize(
    ("flags", "value", "source"),
    [
        ([], 4, "default"),
        (["--push-fanout", "7"], 7, "flag"),
    ],
)
def test_flag_overrides_default(flags, value, source):
    loaded = load(REQUIRED, *flags)
    assert isinstance(loaded, settings.LoadedSettings)
    assert loaded.settings.push_fanout == value
    assert loaded.source_by_name["push_fanout"] == source
    assert f"push_fanout={value} source='{source}'" in settings.describe(loaded)
