"""Reloads the settings file when it has changed, with or without a signal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import fields

import structlog

from jaypost.logs import EventName
from jaypost.settings import (
    LoadedSettings,
    RefusedSettings,
    Settings,
    UnreadableFile,
    read_settings_file,
)

log = structlog.get_logger(__name__)

# Interval at which the file is read when no signal arrives.
POLL_INTERVAL_S = 1.0
# Settings whose changes take effect at once. Changes of all others are logged as taking effect at
# the next start.
RELOADABLE_SETTINGS = frozenset(
    {
        "announcement_interval_ms",
        "announcement_timeout_s",
        "drain_bound_ms",
        "drain_delay_s",
        "drain_timeout_s",
        "grace_s",
        "service",
    }
)


class SettingsReloader:
    """Task that reads the settings file regularly and applies its changes.

    Parameters
    ----------
    path : str
        Path of the settings file.
    current : Settings
        Settings in use.
    load : Callable[[Mapping[str, str]], LoadedSettings or RefusedSettings]
        Validates the content of the file together with the flags and the environment.
    apply : Callable[[Settings], None]
        Puts new settings into use.
    """

    def __init__(
        self,
        path: str,
        current: Settings,
        load: Callable[[Mapping[str, str]], LoadedSettings | RefusedSettings],
        apply: Callable[[Settings], None],
    ) -> None:
        self._path = path
        self._current = current
        self._load = load
        self._apply = apply
        self._content = read_settings_file(path)
        self._reload_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run(), name="settings-reloader")

    async def close(self) -> None:
        """Stop the task."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def request_reload(self) -> None:
        """Read the file without waiting for the interval; called on a signal."""
        self._reload_requested.set()

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._reload_requested.wait()
                log.info(EventName.SETTINGS_SIGNALLED, path=self._path)
            except TimeoutError:
                pass
            self._reload_requested.clear()
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Read the file and, if it has changed and is valid, apply it."""
        content = read_settings_file(self._path)
        if content == self._content:
            return
        self._content = content
        if isinstance(content, UnreadableFile):
            log.error(EventName.SETTINGS_REFUSED, path=self._path, reason=content.reason)
            return
        loaded = self._load(content)
        if isinstance(loaded, RefusedSettings):
            reasons = [f"{item.name}: {item.reason}" for item in loaded.problems]
            log.error(EventName.SETTINGS_REFUSED, path=self._path, reason=reasons)
            return
        self._apply_changes(loaded.settings)

    def _apply_changes(self, new: Settings) -> None:
        old, self._current = self._current, new
        changed = {
            item.name for item in fields(new) if getattr(old, item.name) != getattr(new, item.name)
        }
        self._apply(new)
        log.info(
            EventName.SETTINGS_RELOADED,
            path=self._path,
            applied=sorted(changed & RELOADABLE_SETTINGS),
            at_next_start=sorted(changed - RELOADABLE_SETTINGS),
        )
