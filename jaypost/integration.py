"""What differs between the places that jaypost runs in: forms of the store and of headers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from jaypost.codecs import HeaderDialect
from jaypost.departures import DepartureStore
from jaypost.readers import HEAD_SOURCE, TableSource
from jaypost.records import Address
from jaypost.seeds import SeedStore
from jaypost.settings import Settings
from jaypost.store import Store, StoreCallEnded
from jaypost.store_client import StoreClient


class NodeStore(Store, SeedStore, DepartureStore, Protocol):
    """All calls of the store that a node makes."""

    async def start(self) -> None:
        """Allow calls."""

    async def close(self) -> None:
        """Close all connections."""


StoreFactory = Callable[[Address, float, Callable[[StoreCallEnded], None]], NodeStore]


@dataclass(frozen=True, slots=True)
class Integration:
    """Forms of the store, callers and targets around a node.

    Parameters
    ----------
    make_store : callable
        Returns a client for the address of the store, the timeout of a call in seconds and the
        receiver of the results of calls.
    make_table_source : callable
        Returns where the newest table version lies in the store.
    caller_dialect, target_dialect : HeaderDialect or None
        Names of the headers of callers and of targets; None for those of jaypost.
    """

    make_store: StoreFactory = StoreClient
    make_table_source: Callable[[Settings], TableSource] = lambda _: HEAD_SOURCE
    caller_dialect: HeaderDialect | None = None
    target_dialect: HeaderDialect | None = None


OWN_INTEGRATION = Integration()
