"""How many file descriptors of the process the connections of each kind may use.

Callers keep connections open that they may never use again, and pools keep connections to every
node that they have called. Without a limit, either can take the descriptors that new connections
need. A process without free descriptors accepts no caller at all.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass

# Descriptors for everything else: files, listening sockets, control and store connections.
RESERVED_FILES = 256
# Shares of the other descriptors. The rest is left for connections of peers, whose number the pools
# of the peers limit.
CALLER_SHARE = 0.4
PEER_POOL_SHARE = 0.2
TARGET_POOL_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Largest numbers of open connections: of callers, to peers, and to the targets of the host."""

    callers: int
    to_peers: int
    to_targets: int


def connection_limits(max_files: int) -> ConnectionLimits:
    """Divide the descriptors of a process.

    Parameters
    ----------
    max_files : int
        Descriptors that the process may use; 0 for the limit that the system sets.
    """
    if not max_files:
        max_files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    available = max(0, max_files - RESERVED_FILES)
    callers, to_peers, to_targets = (
        max(1, int(share * available))
        for share in (CALLER_SHARE, PEER_POOL_SHARE, TARGET_POOL_SHARE)
    )
    return ConnectionLimits(callers, to_peers, to_targets)
