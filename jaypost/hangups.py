"""Notices the end of connections that are not read at the moment.

An event loop reports that the other side has closed a connection when it reads the end of the
stream, behind all bytes that arrived before. While reading is paused that may be long after the
close. The kernel can be asked for it at any time.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable, Collection
from typing import Protocol

CHECK_INTERVAL_S = 0.1
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class HangupOwner(Protocol):
    """A connection that is not read."""

    def on_hangup(self) -> None:
        """Handle the close of the connection by its other side."""
        ...


def poll_hangups(descriptors: Collection[int]) -> frozenset[int]:
    """Return the descriptors of the sockets whose other side has closed the connection."""
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLRDHUP)
    return frozenset(descriptor for descriptor, events in poll.poll(0) if events & _HANGUP_EVENTS)


class HangupWatch:
    """Asks the kernel for the end of connections while they are not read.

    Parameters
    ----------
    poll : callable or None
        Returns those of the given descriptors whose other side has closed the connection; None for
        `poll_hangups`.
    """

    def __init__(self, poll: Callable[[Collection[int]], frozenset[int]] | None = None) -> None:
        self._poll = poll or poll_hangups
        # By owner, because the kernel may give a descriptor to a new connection before the owner
        # of the old one hears of its end.
        self._descriptor_by_owner: dict[HangupOwner, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, owner: HangupOwner, descriptor: int) -> None:
        """Call `owner.on_hangup` once when the other side of a connection closes it."""
        self._descriptor_by_owner[owner] = descriptor
        if self._timer is None:
            self._start_timer()

    def remove(self, owner: HangupOwner) -> None:
        """Stop watching the connection of `owner`, if it is watched."""
        self._descriptor_by_owner.pop(owner, None)

    def close(self) -> None:
        """Stop watching all connections."""
        self._descriptor_by_owner.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self._descriptor_by_owner:
            return
        hung_up = self._poll(set(self._descriptor_by_owner.values()))
        owners = [o for o, descriptor in self._descriptor_by_owner.items() if descriptor in hung_up]
        for owner in owners:
            self.remove(owner)
            owner.on_hangup()
        if self._descriptor_by_owner and self._timer is None:
            self._start_timer()
