"""Allotments of one node: creates the holder and the divider and connects them with gossip."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from jaypost.allotments.buckets import ShareBuckets, TakeOutcome
from jaypost.allotments.divider import Divider, DividerStore
from jaypost.allotments.holder import ShareHolder
from jaypost.allotments.shares import Limit, Tolerance, limit_with
from jaypost.gossip import Gossip
from jaypost.messages import AllotmentReply, AllotmentRequest
from jaypost.records import NodeRecord, NodeState
from jaypost.settings import Settings
from jaypost.view import MembershipView
from jaypost.workspaces.keys import Workspace, WorkspaceIndex


class NodeAllotments:
    """The shares of this node, and the role of the divider.

    The tasks start with the first version that limits a workspace.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    incarnation : int
        Incarnation of the node.
    store : DividerStore
        Client of the store.
    gossip : Gossip
        Gossip of this node.
    view : MembershipView
        Its view.
    workspaces : callable
        Returns the workspaces of the version in force.
    is_ready : callable
        Tells whether this node is ready.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        store: DividerStore,
        gossip: Gossip,
        view: MembershipView,
        workspaces: Callable[[], WorkspaceIndex],
        is_ready: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._tolerance = Tolerance(
            settings.allotment_tolerance, settings.allotment_slack, settings.allotment_window_s
        )
        self._gossip = gossip
        self._view = view
        self._workspaces = workspaces
        self._is_ready = is_ready
        self._limits_of: WorkspaceIndex | None = None
        self._limit_by_workspace: dict[str, Limit] = {}
        self._started = False
        buckets = ShareBuckets(settings.allotment_tolerance)
        self._holder = ShareHolder(settings.node_id, incarnation, buckets, self, rng)
        self._divider = Divider(
            settings.node_id,
            store,
            self._is_candidate,
            lambda: is_ready() and not gossip.is_isolated,
            self.limits,
            self._host_ids,
            self._publish_term,
            settings.first_start,
        )
        gossip.on_allotment_request = self._divider.handle

    def start_if_limited(self) -> None:
        """Start the tasks if the version in force limits a workspace."""
        if not self._started and self.limits():
            self._started = True
            self._holder.start()
            self._divider.start()

    def forget_lease(self) -> None:
        """Claim the role of the divider again: the store has come back from an older copy."""
        self._divider.forget_lease()

    async def close(self) -> None:
        """Stop the tasks and give the role of the divider up."""
        await self._holder.close()
        await self._divider.close()

    def limits(self) -> Mapping[str, Limit]:
        """Return the limits of the version in force by workspace."""
        index = self._workspaces()
        if index is not self._limits_of:
            self._limits_of = index
            self._limit_by_workspace = {
                name: limit_with(self._tolerance, item.rate_limit, item.rate_burst)
                for name, item in index.workspace_by_name.items()
                if item.rate_limit
            }
        return self._limit_by_workspace

    # Allotments, as the ingress uses them

    def take(self, workspace: Workspace) -> TakeOutcome:
        """Take a token for a request."""
        return self._holder.take(workspace)

    async def acquire(self, workspace: Workspace) -> TakeOutcome:
        """Wait for a token for a request that found none."""
        return await self._holder.acquire(workspace)

    def give_back(self, workspace: Workspace) -> None:
        """Return the token of a request that was not run."""
        self._holder.give_back(workspace)

    def rates(self) -> dict[str, float]:
        """Return the present share of each workspace in requests per second, by name."""
        return self._holder.rates()

    # DividerDirectory

    def divider(self) -> NodeRecord | None:
        """Return the record of the divider, None if none is known."""
        return self._view.divider()

    def host_count(self) -> int:
        """Return the number of known hosts."""
        return len(self._view)

    async def ask(
        self, divider: NodeRecord, request: AllotmentRequest, timeout_s: float
    ) -> AllotmentReply | None:
        """Ask the divider for shares; None when there is no reply."""
        reply: AllotmentReply | None = await self._gossip.ask(divider.node_id, request, timeout_s)
        return reply

    def _publish_term(self, term: int) -> None:
        self._gossip.publish(divider_term=term)

    def _is_candidate(self) -> bool:
        return self._is_ready() and self._gossip.store_reader_place() == 0

    def _host_ids(self) -> Iterable[str]:
        records = self._view.records()
        return [record.node_id for record in records if record.state is not NodeState.LEFT]
