"""Settings of nodes that are started inside another process."""

from __future__ import annotations

import argparse

from jaypost.settings import LoadedSettings, Settings, load


def node_settings(**values: object) -> Settings:
    """Return the default settings with kernel-chosen ports and the given values."""
    texts = {
        "node_id": "node-a",
        "failure_domain": "domain-a",
        "region": "region-a",
        "store": "127.0.0.1:1",
        "listen_caller": "127.0.0.1:0",
        "listen_peer": "127.0.0.1:0",
        "listen_control": "127.0.0.1:0",
        "listen_admin": "127.0.0.1:0",
    }
    texts |= {name: str(value) for name, value in values.items()}
    loaded = load(argparse.Namespace(**texts), {})
    if not isinstance(loaded, LoadedSettings):
        raise ValueError(str(loaded.problems))
    return loaded.settings
