"""Limits of the bytes of a message that are neither content nor its head.

Chunk sizes, chunk extensions, trailers, interim responses and empty lines cost work and deliver
nothing. Some of them are part of every message; they are limited where they go on without a head or
content, and where they are out of proportion to the content.
"""

from __future__ import annotations

from jaypost.errors import ErrorKind
from jaypost.http_messages import ProtocolFaultError
from jaypost.intake.quanta import PROPORTIONATE_FRAMING

# Framing out of proportion to the content that a response may have in all.
MAX_EXCESS_BYTES = 262_144
# Disproportionate framing that each read may have in addition, so that a stream of single
# characters that are sent as they arise may go on for ever.
READ_ALLOWANCE_BYTES = 256


class FramingMeter:
    """Counts the framing of the messages that one side of a connection sends.

    Parameters
    ----------
    limit_bytes : int
        Largest size in bytes of framing that arrives without a head or content in between.
    max_excess_bytes : int or None
        Largest size in bytes of framing of a message that is out of proportion to its content;
        None for no limit.

    Attributes
    ----------
    total_bytes : int
        Framing of all messages so far.
    """

    __slots__ = (
        "_bytes_without_content",
        "_excess_bytes",
        "_limit_bytes",
        "_max_excess_bytes",
        "total_bytes",
    )

    def __init__(self, limit_bytes: int, max_excess_bytes: int | None = None) -> None:
        self._limit_bytes = limit_bytes
        self._max_excess_bytes = max_excess_bytes
        self.total_bytes = 0
        self._bytes_without_content = 0
        self._excess_bytes = 0

    def start_part(self) -> None:
        """Begin to count anew, because a message or its body begins."""
        self._bytes_without_content = 0
        self._excess_bytes = 0

    def add_preamble(self, size_bytes: int) -> None:
        """Count an interim response, or an empty line before a head.

        Raises
        ------
        ProtocolFaultError
            If too many of them arrive before the head.
        """
        self.total_bytes += size_bytes
        self._bytes_without_content += size_bytes
        if self._bytes_without_content > self._limit_bytes:
            raise ProtocolFaultError("no head after many bytes", ErrorKind.HEADERS_TOO_LARGE)

    def add_body(self, received_bytes: int, content_bytes: int, ended: bool) -> None:
        """Count one read of a chunked body.

        Parameters
        ----------
        received_bytes : int
            Size of the read.
        content_bytes : int
            Size of the content in it.
        ended : bool
            Whether the body is complete, so that no limit matters any more.

        Raises
        ------
        ProtocolFaultError
            If the framing is too large, or out of proportion to the content.
        """
        framing_bytes = max(0, received_bytes - content_bytes)
        self.total_bytes += framing_bytes
        if ended:
            return
        if content_bytes:
            self._bytes_without_content = 0
        else:
            self._bytes_without_content += received_bytes
        if self._bytes_without_content > self._limit_bytes:
            raise ProtocolFaultError("chunk framing is too large", ErrorKind.HEADERS_TOO_LARGE)
        # Proportionate reads make up for earlier ones that were not.
        difference = framing_bytes - PROPORTIONATE_FRAMING * content_bytes
        self._excess_bytes = max(0, self._excess_bytes + difference - READ_ALLOWANCE_BYTES)
        if self._max_excess_bytes is not None and self._excess_bytes > self._max_excess_bytes:
            raise ProtocolFaultError(
                "chunk framing is out of proportion to the content", ErrorKind.FRAMING_EXCESSIVE
            )
