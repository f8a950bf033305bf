"""Settings of nodes that run inside a test or benchmark process."""

from __future__ import annotations

import argparse

from jaypost.settings import LoadedSettings, Settings, load


def node_settings(**values: object) -> Settings:
    """Return the default settings with ports chosen by the kernel.

    Parameters
    ----------
    **values : object
        Settings by name that replace these defaults; their text form is parsed.

    Raises
    ------
    ValueError
        If a value is refused.
    """
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
