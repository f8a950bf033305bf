"""Collects the status of all nodes on demand."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from jaypost.messages import NodeStatus, StatusRequest, StatusScope
from jaypost.peers import CallOutcome, Replied
from jaypost.records import NodeRecord, NodeState
from jaypost.view import MembershipView, Scope

NODE_TIMEOUT_S = 1.0  # for the status of one node
DOMAIN_TIMEOUT_S = 15.0  # for the reply of a delegate, which asks all nodes of its domain
MAX_CONCURRENT_CALLS = 32  # to the nodes of the own domain
DELEGATE_ATTEMPTS = 3  # nodes of a domain that are asked until one replies


class StatusCollector:
    """Collects the status of the nodes of the own domain or of the whole fleet.

    Each node of the own domain is asked for its own status. In each other domain one node, the
    delegate, is asked for the status of all nodes of that domain.

    Parameters
    ----------
    view : MembershipView
        View with the nodes to ask.
    rng : random.Random
        Random source for the choice of delegates.
    call : callable
        Calls a node with a request and a timeout in seconds.
    own_status : callable
        Returns the status of the own node.
    """

    def __init__(
        self,
        view: MembershipView,
        rng: random.Random,
        call: Callable[[NodeRecord, Any, float], Awaitable[CallOutcome]],
        own_status: Callable[[], NodeStatus],
    ) -> None:
        self._view = view
        self._rng = rng
        self._call = call
        self._own_status = own_status

    async def collect_fleet(self) -> tuple[NodeStatus, ...]:
        """Return the status of every node."""
        domains = self._view.other_domains(Scope.REGION)
        domains += self._view.other_domains(Scope.CROSS_REGION)
        parts = await asyncio.gather(
            self.collect_domain(), *(self._from_delegate(domain) for domain in domains)
        )
        return tuple(status for part in parts for status in part)

    async def collect_domain(self) -> tuple[NodeStatus, ...]:
        """Return the status of the nodes in the own domain."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        records = self._records_of(self._view.own.failure_domain)
        return tuple(await asyncio.gather(*(self._ask(record, semaphore) for record in records)))

    async def _ask(self, record: NodeRecord, semaphore: asyncio.Semaphore) -> NodeStatus:
        own_id = self._view.own.node_id
        if record.node_id == own_id:
            return self._own_status()
        async with semaphore:
            request = StatusRequest(own_id, StatusScope.NODE)
            outcome = await self._call(record, request, NODE_TIMEOUT_S)
        if isinstance(outcome, Replied) and outcome.message.statuses:
            status: NodeStatus = outcome.message.statuses[0]
            return status
        return _unanswered(record)

    async def _from_delegate(self, failure_domain: str) -> tuple[NodeStatus, ...]:
        request = StatusRequest(self._view.own.node_id, StatusScope.DOMAIN)
        for peer in self._view.sample_domain(self._rng, failure_domain, DELEGATE_ATTEMPTS):
            outcome = await self._call(peer, request, DOMAIN_TIMEOUT_S)
            if isinstance(outcome, Replied):
                statuses: tuple[NodeStatus, ...] = outcome.message.statuses
                return statuses
        return tuple(_unanswered(record) for record in self._records_of(failure_domain))

    def _records_of(self, failure_domain: str) -> list[NodeRecord]:
        return [
            record
            for record in self._view.records()
            if record.failure_domain == failure_domain and record.state is not NodeState.LEFT
        ]


def _unanswered(record: NodeRecord) -> NodeStatus:
    return NodeStatus(
        record.node_id,
        record.failure_domain,
        record.region,
        record.state,
        record.stamp,
        answered=False,
    )
