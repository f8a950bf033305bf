"""A roll-out in a chaos run: starts targets of a new version, orders them and follows the state."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from bench.chaos_checks import RolloutRecord
from jaypost.records import Address, RolloutPhase
from jaypost.rollouts.decisions import RolloutOrder
from jaypost.rollouts.orders import DEFAULT_ROLLOUT_KEYS, decode_status, encode_order
from jaypost.store import Found, Stored
from jaypost.store_client import StoreClient
from standins.processes import http_request

OLD_VERSION = "1"
NEW_VERSION = "2"
EXPOSURE_SHARE = 0.2
# Part of the length of a run after which the order is written, and part that the roll-out may take.
ORDERED_AT_FRACTION = 0.1
DURATION_FRACTION = 0.8
# Time after the end that the order allows in which the end is written: the store may be away.
END_GRACE_S = 15.0
POLL_INTERVAL_S = 0.1


class ChaosRollout:
    """Moves one service to targets of a new version while faults go on.

    Parameters
    ----------
    service : str
        The service.
    old_target_ids, new_target_ids : tuple of str
        Targets of the service by version; those of the new one are started by the roll-out.
    is_bad : bool
        Whether they answer every request with status 500.
    run_duration_s : float
        Length of the run in seconds.
    """

    def __init__(
        self,
        service: str,
        old_target_ids: tuple[str, ...],
        new_target_ids: tuple[str, ...],
        is_bad: bool,
        run_duration_s: float,
    ) -> None:
        self._service = service
        self._old_target_ids = old_target_ids
        self._new_target_ids = new_target_ids
        self._is_bad = is_bad
        self._run_duration_s = run_duration_s

    async def run(
        self, store: StoreClient, start_target: Callable[[str], Awaitable[int]]
    ) -> RolloutRecord:
        """Execute the roll-out and return when it has ended, or when it should have.

        `start_target` starts a target of the new version and returns its port.
        """
        await asyncio.sleep(ORDERED_AT_FRACTION * self._run_duration_s)
        ports = await asyncio.gather(
            *(start_target(target_id) for target_id in self._new_target_ids)
        )
        if self._is_bad:
            for port in ports:
                await self._make_bad(Address("127.0.0.1", port))
        duration_s = DURATION_FRACTION * self._run_duration_s
        await self._order(store, RolloutOrder(self._service, NEW_VERSION, duration_s, 0))
        ordered_at_s = time.time()
        deadline = time.monotonic() + duration_s + END_GRACE_S
        phase = RolloutPhase.RUNNING
        while phase is RolloutPhase.RUNNING and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            phase = await self._read_phase(store)
        return RolloutRecord(
            self._old_target_ids,
            self._new_target_ids,
            self._is_bad,
            phase,
            ordered_at_s,
            time.time(),
            EXPOSURE_SHARE,
        )

    async def _make_bad(self, address: Address) -> None:
        body = json.dumps({"fail_status": 500}).encode()
        await asyncio.to_thread(http_request, "PUT", address, "/behaviour", body)

    async def _order(self, store: StoreClient, order: RolloutOrder) -> None:
        key = DEFAULT_ROLLOUT_KEYS.order_prefix + self._service
        while not isinstance(await store.put(key, encode_order(order), 0), Stored):
            # A write whose response was lost may have taken effect.
            if isinstance(await store.get(key), Found):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_phase(self, store: StoreClient) -> RolloutPhase:
        found = await store.get(DEFAULT_ROLLOUT_KEYS.status_prefix + self._service)
        if not isinstance(found, Found):
            return RolloutPhase.RUNNING
        status = decode_status(self._service, found.value)
        return RolloutPhase.RUNNING if status is None else status.step.phase
