"""Requests with keys through the nodes to a target."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jaypost.records import Row
from jaypost.workspaces.keys import Workspace, WorkspaceIndex, key_digest
from jaypost.workspaces.rows import workspace_rows
from tests.harness import Mesh, running_mesh
from tests.request_path.test_request_bodies import CODECS, PLACES

KEY = "k-secret-7d1c"


def set_workspaces(mesh: Mesh, *keys: str, row: Row | None = None) -> None:
    rows = workspace_rows(Workspace("lettings"), map(key_digest, keys))
    mesh.row = row or mesh.row
    mesh.publish()
    mesh.snapshot = replace(mesh.snapshot, workspaces=WorkspaceIndex(rows))


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("spelling", ["authorization", "AUTHORIZATION", "Authorization"])
async def test_target_gets_the_workspace_and_no_key(
    codec: str, place: str, spelling: str, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards against a key at a target or in a log, and a workspace that the caller chose."""
    targets, local = PLACES[place]
    async with running_mesh(codec, targets, local=local) as mesh:
        set_workspaces(mesh, KEY)
        client = await mesh.client()
        client.write(
            f"GET /work/0 HTTP/1.1\r\nhost: orders\r\nx-request-id: a\r\n{spelling}: Bearer {KEY}"
            "\r\nx-jaypost-workspace: forged\r\nX-Jaypost-Tenant: forged\r\n\r\n".encode()
        )
        reply = await client.read_reply()
        assert reply.status == 200
        (call,) = mesh.nodes[0].ingress_calls
        assert call.tenant == "lettings"
        seen = [head for node in mesh.nodes for target in node.targets for head in target.heads]
        (head,) = seen
        assert head.control.get(b"x-jaypost-workspace") == b"lettings"
        assert b"authorization" not in dict(head.headers)
        assert b"forged" not in str(head).encode()
        await client.close()
    shown = capfd.readouterr()
    assert KEY not in shown.out + shown.err


@pytest.mark.parametrize("codec", CODECS)
async def test_removed_key_is_refused_on_a_kept_connection(codec: str) -> None:
    """Guards against a key that works for as long as its connection is open (CONFIG)."""
    async with running_mesh(codec, (1,)) as mesh:
        set_workspaces(mesh, KEY, "other")
        client = await mesh.client()
        authorization = {"authorization": f"Bearer {KEY}"}
        assert (
            await client.call("GET", "/work/0", x_request_id="a", **authorization)
        ).status == 200
        set_workspaces(mesh, "other")
        reply = await client.call("GET", "/work/0", x_request_id="b", **authorization)
        assert (reply.status, reply.headers["www-authenticate"]) == (401, "Bearer")
        assert (reply.error, reply.run) == ("unknown_key", "not-run")
        assert KEY.encode() not in reply.body
        assert (await client.call("GET", "/work/0", x_request_id="c")).status == 401
        await client.close()


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize(
    ("headers", "tenant"),
    [({}, "default"), ({"authorization": "Bearer nobody"}, "default")],
)
async def test_row_without_key_serves_calls_of_targets(
    codec: str, headers: dict[str, str], tenant: str
) -> None:
    """Guards against calls of targets that are refused for want of a key (DENIED)."""
    async with running_mesh(codec, (1,)) as mesh:
        set_workspaces(mesh, KEY, row=Row("orders", without_key=True))
        client = await mesh.client()
        assert (await client.call("GET", "/work/0", x_request_id="a", **headers)).status == 200
        (call,) = mesh.nodes[0].ingress_calls
        assert call.tenant == tenant
        (head,) = mesh.nodes[0].targets[0].heads
        assert b"x-jaypost-workspace" not in head.control
        assert b"authorization" not in dict(head.headers)
        await client.close()


@pytest.mark.parametrize("codec", CODECS)
async def test_table_without_workspaces_passes_the_header_on(codec: str) -> None:
    """Guards against deployments without keys that lose a header of their own."""
    async with running_mesh(codec, (1,)) as mesh:
        client = await mesh.client()
        reply = await client.call("GET", "/work/0", x_request_id="a", authorization="Basic x")
        assert reply.status == 200
        (head,) = mesh.nodes[0].targets[0].heads
        assert dict(head.headers)[b"authorization"] == b"Basic x"
        await client.close()
