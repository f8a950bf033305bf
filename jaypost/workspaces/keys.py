"""Keys of requests and the workspaces that they belong to.

A key itself is never stored, logged or sent: the table holds its digest, and the header that
carries it is removed from the request. The module does no input or output.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

KEY_HEADER = b"authorization"
KEY_SCHEME = b"bearer"
DIGEST_BYTES = 16
# Priority of a workspace whose requests keep that of their row.
NO_PRIORITY = -1


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace as requests use it.

    Parameters
    ----------
    name : str
        Name, which targets get with each request.
    priority : int
        Rank of its requests in the queue of a target; `NO_PRIORITY` for that of their row.
    rate_limit : float
        Requests per second on all hosts together; 0 means no limit.
    rate_burst : float
        Requests beyond the rate that may come at once.
    """

    name: str
    priority: int = NO_PRIORITY
    rate_limit: float = 0.0
    rate_burst: float = 0.0


class WorkspaceRow(Protocol):
    """The columns of a row of the table that describe a workspace, or a part of its keys."""

    @property
    def workspace(self) -> str:
        """Name of the workspace; empty in other rows."""

    @property
    def key_digests(self) -> tuple[str, ...]:
        """Digests of some of its keys."""

    @property
    def priority(self) -> int:
        """Priority of its requests."""

    @property
    def rate_limit(self) -> float:
        """Requests per second."""

    @property
    def rate_burst(self) -> float:
        """Requests beyond the rate."""


class WorkspaceIndex:
    """Workspaces by the digest of a key.

    Parameters
    ----------
    rows : iterable of WorkspaceRow
        Rows of one table version.
    """

    __slots__ = ("_workspace_by_digest", "workspace_by_name")

    def __init__(self, rows: Iterable[WorkspaceRow] = ()) -> None:
        self._workspace_by_digest: dict[bytes, Workspace] = {}
        self.workspace_by_name: dict[str, Workspace] = {}
        for row in rows:
            if not row.workspace:
                continue
            workspace = Workspace(row.workspace, row.priority, row.rate_limit, row.rate_burst)
            workspace = self.workspace_by_name.setdefault(row.workspace, workspace)
            for digest in row.key_digests:
                self._workspace_by_digest[bytes.fromhex(digest)] = workspace

    def __len__(self) -> int:
        return len(self.workspace_by_name)

    def find(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key, None if none does."""
        return self._workspace_by_digest.get(_digest(key))


@dataclass(frozen=True, slots=True)
class Identified:
    """The workspace of a request, None for one without a key, and the headers to pass on."""

    workspace: Workspace | None
    headers: list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request needs a key and has none, or none that a workspace holds."""


def key_digest(key: str) -> str:
    """Return the digest of a key, in hexadecimal, as the table holds it."""
    return _digest(key.encode()).hex()


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def identify(
    headers: Sequence[tuple[bytes, bytes]], index: WorkspaceIndex, without_key: bool
) -> Identified | UnknownKey:
    """Find the workspace of a request and remove its key.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        End-to-end headers of the request, with names in lower case.
    index : WorkspaceIndex
        Workspaces of the version in force.
    without_key : bool
        Whether the row serves requests without a known key as well.
    """
    values = [value for name, value in headers if name == KEY_HEADER]
    passed_on = [header for header in headers if header[0] != KEY_HEADER] if values else headers
    workspace = None
    if len(values) == 1:
        scheme, _, key = values[0].strip().partition(b" ")
        if scheme.lower() == KEY_SCHEME:
            workspace = index.find(key.strip())
    if workspace is None and not without_key:
        return UnknownKey()
    return Identified(workspace, list(passed_on))
