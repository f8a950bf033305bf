"""Runs the tests of this folder on a `MemoryLoop`, in virtual time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from jaypost import hangups
from tests.request_path.memory_loop import MemoryLoop, MemoryLoopPolicy


@pytest.fixture(scope="session")
def event_loop_policy() -> MemoryLoopPolicy:
    return MemoryLoopPolicy()


@pytest_asyncio.fixture(autouse=True)
async def loop(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[MemoryLoop]:
    """Return the loop of the test, whose time is that of the code under test."""
    running = asyncio.get_running_loop()
    assert isinstance(running, MemoryLoop)
    monkeypatch.setattr(time, "monotonic", running.time)
    monkeypatch.setattr(hangups, "poll_hangups", running.poll_hangups)
    yield running
