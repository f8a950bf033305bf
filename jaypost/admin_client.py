"""HTTP client for the admin port, based on h11; used by the command-line tool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import h11

from jaypost.records import Address

READ_CHUNK_BYTES = 65_536
DEFAULT_TIMEOUT_S = 15.0
MAX_RESPONSE_BYTES = 64 << 20


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Complete HTTP response of a node."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class AdminUnreachable:
    """No complete response was received from the node."""

    reason: str


class AdminClient:
    """Sends requests to the admin address of a node, each over a new connection.

    Parameters
    ----------
    address : Address
        Admin address of the node.
    timeout_s : float
        Time limit in seconds for a request, from connecting to the end of the response.
    """

    def __init__(self, address: Address, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self.address = address
        self._timeout_s = timeout_s

    async def request(
        self, method: str, path: str, body: bytes = b""
    ) -> AdminResponse | AdminUnreachable:
        """Send a request and return the complete response, or why there is none."""
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._request(method, path, body)
        except TimeoutError:
            return AdminUnreachable(f"no response within {self._timeout_s:g} s")
        except (OSError, h11.ProtocolError) as error:
            return AdminUnreachable(str(error))

    async def _request(
        self, method: str, path: str, body: bytes
    ) -> AdminResponse | AdminUnreachable:
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        try:
            http = h11.Connection(h11.CLIENT)
            headers = [
                ("host", str(self.address)),
                ("content-length", str(len(body))),
                ("connection", "close"),
            ]
            head = h11.Request(method=method, target=path, headers=headers)
            for event in (head, h11.Data(data=body), h11.EndOfMessage()):
                writer.write(http.send(event) or b"")
            await writer.drain()
            return await self._read_response(http, reader)
        finally:
            writer.close()

    async def _read_response(
        self, http: h11.Connection, reader: asyncio.StreamReader
    ) -> AdminResponse | AdminUnreachable:
        status = 0
        body = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    return AdminUnreachable("the response is too large")
            elif isinstance(event, h11.EndOfMessage):
                return AdminResponse(status, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return AdminUnreachable(
                    "the node closed the connection before the end of the response"
                )
