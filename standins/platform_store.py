"""Stand-in for the platform's metadata store, over the content of the store stand-in."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Sequence
from typing import Any

import msgspec

from jaypost.records import Address
from jaypost.store import Conflict, Found, LeaseHeld, LeaseLapsed
from standins.store import StoreServer, _Handler, _Reply, _Request

PAGE_ITEMS = 500
LEASE_PREFIX = "lease-"


class PlatformStoreServer(StoreServer):
    """HTTP server that speaks the platform's form.

    Attributes
    ----------
    history : list of dict
        Changes that a watch can still return, oldest first.
    discarded_revision : int
        Watches that go on from before this revision get 410.
    refuse_status : int
        Status of the next calls, which then have no effect; 0 for none.
    """

    def __init__(self, listen: Address) -> None:
        super().__init__(listen)
        self.history: list[dict[str, Any]] = []
        self.discarded_revision = 0
        self.refuse_status = 0
        self.page_items = PAGE_ITEMS

    def discard_history(self) -> None:
        """Forget all changes so far."""
        self.history.clear()
        self.discarded_revision = self.core.revision

    async def write(self, key: str, value: bytes) -> int:
        """Write a key as the operator does, and return its revision."""
        self.core.put(key, value, None)
        await self._record(key)
        return self.core.revision

    async def _dispatch(self, request: _Request) -> _Reply:
        if self.refuse_status:
            return _Reply(self.refuse_status)
        handler_by_call: dict[tuple[str, str], _Handler] = {
            ("GET", "/v1/kv-key"): self._get_item,
            ("GET", "/v1/kv-range"): self._get_range,
            ("GET", "/v1/kv-watch"): self._get_changes,
            ("POST", "/v1/kv-txn"): self._post_change,
            ("POST", "/v1/kv-lease"): self._post_lease,
            ("POST", "/v1/kv-keep"): self._post_renewal,
        }
        path, _, argument = request.path.removeprefix("/v1/").partition("/")
        handler = handler_by_call.get((request.method, f"/v1/{path}"))
        if handler is None:
            return _Reply(404, b"unknown call")
        self.calls_by_kind[path] += 1
        return await handler(request, argument)

    async def _get_item(self, request: _Request, _: str) -> _Reply:
        item = self._item(request.parameters["key"])
        if item is None:
            return _Reply(404)
        return _json(200, item | {"store_revision": self.core.revision})

    async def _get_range(self, request: _Request, _: str) -> _Reply:
        after = request.parameters.get("after", "")
        entries = self.core.list(request.parameters["path_prefix"])
        keys = [entry.key for entry in entries if entry.key > after]
        items = [self._item(key) for key in keys[: self.page_items]]
        truncated = len(keys) > self.page_items
        reply = {"items": items, "truncated": truncated, "store_revision": self.core.revision}
        return _json(200, reply)

    async def _get_changes(self, request: _Request, _: str) -> _Reply:
        prefix = request.parameters["path_prefix"]
        after = int(request.parameters["after"])
        if after < self.discarded_revision:
            return _Reply(410)
        wait_s = int(request.parameters["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.faults.down or bool(self._changes(prefix, after))
                )
        except TimeoutError:
            pass
        if after < self.discarded_revision:
            return _Reply(410)
        events = self._changes(prefix, after)
        return _json(200, {"events": events, "store_revision": self.core.revision})

    def _changes(self, prefix: str, after: int) -> Sequence[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _post_change(self, request: _Request, _: str) -> _Reply:
        body = msgspec.json.decode(request.body)
        failed = [
            row["key"]
            for row in body["conditions"]
            if self.core.get(row["key"]).revision != row["revision"]
        ]
        if failed:
            items = [item for key in failed if (item := self._item(key)) is not None]
            return _json(412, {"items": items})
        for put in body["puts"]:
            lease_id = f"{LEASE_PREFIX}{put['lease']}" if put["lease"] else None
            value = base64.b64decode(put["value"], validate=True)
            outcome = self.core.put(put["key"], value, None, lease_id)
            if isinstance(outcome, LeaseLapsed | Conflict):
                return _Reply(404)
            await self._record(put["key"])
        for key in body["removals"]:
            self.core.delete(key, None)
            await self._record(key)
        return _json(200, {"revision": self.core.revision})

    async def _post_lease(self, request: _Request, _: str) -> _Reply:
        ttl_ms = msgspec.json.decode(request.body)["ttl_ms"]
        lease_id = self.core.grant_lease(ttl_ms / 1000, time.monotonic())
        number = int(lease_id.removeprefix(LEASE_PREFIX))
        return _json(200, {"lease": number, "ttl_ms": ttl_ms})

    async def _post_renewal(self, request: _Request, number: str) -> _Reply:
        outcome = self.core.renew_lease(f"{LEASE_PREFIX}{number}", time.monotonic())
        return _json(200, {"ttl_ms": 0}) if isinstance(outcome, LeaseHeld) else _Reply(404)

    def _item(self, key: str) -> dict[str, Any] | None:
        found = self.core.get(key)
        if not isinstance(found, Found):
            return None
        value = base64.b64encode(found.value).decode()
        return {"key": key, "value": value, "revision": found.revision, "lease": 0}

    async def _record(self, key: str) -> None:
        removed = {"key": key, "revision": self.core.revision, "deleted": True}
        self.history.append(self._item(key) or removed)
        await self._notify()


def _json(status: int, value: object) -> _Reply:
    return _Reply(status, msgspec.json.encode(value))
