"""Parts of a node that depend on its environment: store client, table format, header names."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from jaypost.departures import DepartureStore
from jaypost.http_messages import HeaderDialect
from jaypost.readers import HEAD_SOURCE, TableSource
from jaypost.records import Address
from jaypost.rollouts.coordinator import RolloutStore
from jaypost.rollouts.orders import DEFAULT_ROLLOUT_KEYS, RolloutKeys
from jaypost.seeds import SeedStore
from jaypost.settings import Settings
from jaypost.store import Store, StoreCallEnded
from jaypost.store_client import StoreClient


class NodeStore(Store, SeedStore, DepartureStore, RolloutStore, Protocol):
    """Store client with all calls that a node makes.

    Attributes
    ----------
    round_trip_s : float or None
        Shortest time in seconds in which a connection was opened; None before the first.
    era, on_era_changed
        As in `jaypost.store_connections.StoreConnections`.
    """

    round_trip_s: float | None
    era: int
    on_era_changed: Callable[[int], None]

    async def start(self) -> None:
        """Allow calls; before the start, every call fails."""

    async def close(self) -> None:
        """Close all connections; calls in progress and later calls fail."""


StoreFactory = Callable[[Address, float, Callable[[StoreCallEnded], None]], NodeStore]


@dataclass(frozen=True, slots=True)
class Integration:
    """Store client, table source and header names that a node uses in its environment.

    Parameters
    ----------
    make_store : callable
        Returns a store client. Its arguments are the address of the store, the timeout of a call
        in seconds, and a function that is called with the result of each call.
    make_table_source : callable
        Returns the key and the decoder of the newest table version in the store, for the settings
        of the node.
    caller_dialect, target_dialect : HeaderDialect or None
        Header names on connections of callers and of targets; None for jaypost's own names.
    rollout_keys : RolloutKeys
        Keys of the orders and states of roll-outs.
    """

    make_store: StoreFactory = StoreClient
    make_table_source: Callable[[Settings], TableSource] = lambda _: HEAD_SOURCE
    caller_dialect: HeaderDialect | None = None
    target_dialect: HeaderDialect | None = None
    rollout_keys: RolloutKeys = DEFAULT_ROLLOUT_KEYS


DEFAULT_INTEGRATION = Integration()
