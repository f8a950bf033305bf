"""Fake node for the admin server, shared by tests of the server, the command line and others."""

from __future__ import annotations

import argparse
import asyncio

from jaypost import admin, settings
from jaypost.admin_client import AdminClient, AdminUnreachable
from jaypost.announcements import Announcements, DrainAll
from jaypost.events import EventLog
from jaypost.metrics import Metrics
from jaypost.records import Row

VALID_ANNOUNCEMENT = {"service": "orders", "port": 9000, "slots": 12, "state": "ready"}


def load_settings(**changes):
    values = {"node_id": "n1", "failure_domain": "d", "region": "r", "store": "127.0.0.1:1"}
    environment = {f"JAYPOST_{k.upper()}": str(v) for k, v in (values | changes).items()}
    return settings.load(argparse.Namespace(), environment).settings


class FakeNode:
    """Fake of the node behind the admin server, with fixed answers to its queries."""

    def __init__(self):
        self.ready = admin.Readiness(False, "no version")
        self.announcements = None
        self.collection_count = 0
        self.fleet_report = admin.FleetReport(({"node_id": "n1"},), unreachable=("n2",))

    def readiness(self):
        return self.ready

    def status(self):
        return {
            "node_id": "n1",
            "ready": False,
            "not_ready_because": "joining",
            "in_force_version": 8,
            "targets": [VALID_ANNOUNCEMENT | {"target_id": "t1"}],
            "store_contact_age_s": 2.25,
            "unknown": 1,
        }

    async def fleet(self):
        self.collection_count += 1
        await asyncio.sleep(0.01)
        return self.fleet_report

    def explain(self, service):
        if service == "broken":
            raise ValueError("broken")
        return Row(service) if service == "orders" else None

    def drain(self):
        self.announcements.handle(DrainAll(0.0))


class AdminHarness:
    """Runs an admin server with a fake node and sends requests to it."""

    def __init__(self):
        configured = load_settings(listen_admin="127.0.0.1:0")
        self.node = FakeNode()
        self.events = EventLog(clock_ms=lambda: 7)
        self.announcements = Announcements(configured, lambda targets: None, self.events)
        self.node.announcements = self.announcements
        self.server = admin.AdminServer(
            configured, self.node, self.announcements, self.events, Metrics(8)
        )

    async def request(self, method, path, body=b""):
        response = await AdminClient(self.server.address).request(method, path, body)
        assert not isinstance(response, AdminUnreachable), response
        return response

    async def request_raw(self, data):
        address = self.server.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        return answer
