"""Guards against changes of the settings file that are missed, or applied although invalid."""

from __future__ import annotations

import argparse
import asyncio

import pytest

from jaypost import reloading, settings

BASE = {
    "JAYPOST_NODE_ID": "n1",
    "JAYPOST_FAILURE_DOMAIN": "d",
    "JAYPOST_REGION": "r",
    "JAYPOST_STORE": "127.0.0.1:1",
}


def write(path, **changes):
    values = BASE | {f"JAYPOST_{name.upper()}": value for name, value in changes.items()}
    lines = ["# comment", "", *(f"{name}={value}" for name, value in values.items())]
    path.write_text("\n".join(lines))


def load(content):
    return settings.load(argparse.Namespace(), content)


@pytest.fixture
def reloader_setup(tmp_path):
    path = tmp_path / "node.env"
    write(path, service="orders")
    applied = []
    current = load(settings.read_settings_file(str(path))).settings
    reloader = reloading.SettingsReloader(str(path), current, load, applied.append)
    return path, reloader, applied


@pytest.mark.parametrize(
    ("changes", "services"),
    [
        ({"service": "orders"}, []),
        ({"service": "stock"}, ["stock"]),
        ({"service": "stock", "unknown": "1"}, ["stock"]),
        ({"service": "stock", "retry_ratio": "", "grace_s": ""}, ["stock"]),
        ({"service": "no name"}, []),
        ({"service": "stock", "node_id": ""}, []),
    ],
)
def test_only_valid_changes_are_applied(reloader_setup, changes, services):
    path, reloader, applied = reloader_setup
    write(path, **changes)
    reloader.reload_if_changed()
    reloader.reload_if_changed()
    assert [item.service for item in applied] == services


@pytest.mark.parametrize("content", [b"\xff\xfe", b"no separator", None])
def test_unreadable_file_changes_nothing_and_is_read_again(reloader_setup, content):
    path, reloader, applied = reloader_setup
    path.unlink()
    if content is not None:
        path.write_bytes(content)
    reloader.reload_if_changed()
    assert applied == []
    write(path, service="stock")
    reloader.reload_if_changed()
    assert [item.service for item in applied] == ["stock"]


@pytest.mark.parametrize("signalled", [False, True])
async def test_change_is_applied_with_and_without_a_signal(reloader_setup, monkeypatch, signalled):
    path, reloader, applied = reloader_setup
    monkeypatch.setattr(reloading, "POLL_INTERVAL_S", 60.0 if signalled else 0.02)
    reloader.start()
    await asyncio.sleep(0.01)
    write(path, service="stock")
    if signalled:
        reloader.request_reload()
    async with asyncio.timeout(10):
        while not applied:  # noqa: ASYNC110 - the reloader has no event
            await asyncio.sleep(0.01)
    await reloader.close()
