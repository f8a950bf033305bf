"""Stand-in for the metadata store of the platform.

It serves the HTTP API of that store from the `StoreCore` of the store stand-in.
"""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Sequence
from typing import Any

import msgspec

from jaypost.records import Address
from jaypost.store import Conflict, Found, LeaseExpired, LeaseHeld
from standins.store import Handler, Reply, Request, StoreCore, StoreServer

PAGE_ITEMS = 500
LEASE_PREFIX = "lease-"


class PlatformStoreServer(StoreServer):
    """HTTP server with the API of the platform's metadata store.

    Attributes
    ----------
    history : list of dict
        Change events that a watch can still return, oldest first.
    discarded_revision : int
        Watches that resume from a revision below this one get status 410.
    forced_status : int
        When not 0, every call is answered with this status and has no effect.
    page_items : int
        Largest number of items in one reply to a range request.
    """

    def __init__(self, listen: Address) -> None:
        super().__init__(listen)
        self.history: list[dict[str, Any]] = []
        self.discarded_revision = 0
        self.forced_status = 0
        self.page_items = PAGE_ITEMS

    era_header = "Store-Era"

    async def restore(self, copied: StoreCore) -> None:
        """Come back from an older copy, with a history that ends there."""
        self.history = [item for item in self.history if item["revision"] <= copied.revision]
        await super().restore(copied)

    def discard_history(self) -> None:
        """Discard all change events so far, so that older watches get status 410."""
        self.history.clear()
        self.discarded_revision = self.core.revision

    async def write(self, key: str, value: bytes) -> int:
        """Write a key without a condition, as the platform's operator does; return its revision."""
        self.core.put(key, value, None)
        await self._record_change(key)
        return self.core.revision

    async def _dispatch(self, request: Request) -> Reply:
        if self.forced_status:
            return Reply(self.forced_status)
        handler_by_call: dict[tuple[str, str], Handler] = {
            ("GET", "/v1/kv-key"): self._get_item,
            ("GET", "/v1/kv-range"): self._get_range,
            ("GET", "/v1/kv-watch"): self._get_changes,
            ("POST", "/v1/kv-txn"): self._post_transaction,
            ("POST", "/v1/kv-lease"): self._post_lease,
            ("POST", "/v1/kv-keep"): self._post_renewal,
        }
        path, _, argument = request.path.removeprefix("/v1/").partition("/")
        handler = handler_by_call.get((request.method, f"/v1/{path}"))
        if handler is None:
            return Reply(404, b"unknown call")
        self.calls_by_kind[path] += 1
        return await handler(request, argument)

    async def _get_item(self, request: Request, _: str) -> Reply:
        item = self._item(request.parameters["key"])
        if item is None:
            return Reply(404)
        return _json_reply(200, item | {"store_revision": self.core.revision})

    async def _get_range(self, request: Request, _: str) -> Reply:
        after = request.parameters.get("after", "")
        self.calls_by_kind["stale"] += request.parameters.get("allow_stale") == "1"
        entries = self.core.list(request.parameters["path_prefix"])
        keys = [entry.key for entry in entries if entry.key > after]
        items = [self._item(key) for key in keys[: self.page_items]]
        truncated = len(keys) > self.page_items
        reply = {"items": items, "truncated": truncated, "store_revision": self.core.revision}
        return _json_reply(200, reply)

    async def _get_changes(self, request: Request, _: str) -> Reply:
        prefix = request.parameters["path_prefix"]
        after = int(request.parameters["after"])
        if not self.discarded_revision <= after <= self.core.revision:
            return Reply(410)
        wait_s = int(request.parameters["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.faults.down or bool(self._events_after(prefix, after))
                )
        except TimeoutError:
            pass
        if after < self.discarded_revision:
            return Reply(410)
        events = self._events_after(prefix, after)
        return _json_reply(200, {"events": events, "store_revision": self.core.revision})

    def _events_after(self, prefix: str, after: int) -> Sequence[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _post_transaction(self, request: Request, _: str) -> Reply:
        body = msgspec.json.decode(request.body)
        conflicting_keys = [
            condition["key"]
            for condition in body["conditions"]
            if self.core.get(condition["key"]).revision != condition["revision"]
        ]
        if conflicting_keys:
            items = [item for key in conflicting_keys if (item := self._item(key)) is not None]
            return _json_reply(412, {"items": items})
        for put in body["puts"]:
            lease_id = f"{LEASE_PREFIX}{put['lease']}" if put["lease"] else None
            value = base64.b64decode(put["value"], validate=True)
            outcome = self.core.put(put["key"], value, None, lease_id)
            if isinstance(outcome, LeaseExpired | Conflict):
                return Reply(404)
            await self._record_change(put["key"])
        for key in body["removals"]:
            self.core.delete(key, None)
            await self._record_change(key)
        return _json_reply(200, {"revision": self.core.revision})

    async def _post_lease(self, request: Request, _: str) -> Reply:
        ttl_ms = msgspec.json.decode(request.body)["ttl_ms"]
        lease_id = self.core.grant_lease(ttl_ms / 1000, time.monotonic())
        number = int(lease_id.removeprefix(LEASE_PREFIX))
        return _json_reply(200, {"lease": number, "ttl_ms": ttl_ms})

    async def _post_renewal(self, request: Request, number: str) -> Reply:
        outcome = self.core.renew_lease(f"{LEASE_PREFIX}{number}", time.monotonic())
        return _json_reply(200, {"ttl_ms": 0}) if isinstance(outcome, LeaseHeld) else Reply(404)

    def _item(self, key: str) -> dict[str, Any] | None:
        found = self.core.get(key)
        if not isinstance(found, Found):
            return None
        value = base64.b64encode(found.value).decode()
        return {"key": key, "value": value, "revision": found.revision, "lease": 0}

    async def _record_change(self, key: str) -> None:
        removed = {"key": key, "revision": self.core.revision, "deleted": True}
        self.history.append(self._item(key) or removed)
        await self._notify()


def _json_reply(status: int, value: object) -> Reply:
    return Reply(status, msgspec.json.encode(value))
