"""An answer that is being received on a connection."""

from __future__ import annotations

import asyncio

from .answer import AnswerError, AnswerHead, Header, InvalidAnswer, uptime_s
from .completeness import TransmissionState, find_incompleteness
from .sent_bytes import SentRequest
from .statuses import find_interim_fault

__all__ = ['PendingAnswer']

#: Bytes that are not part of the body: heads, chunk sizes and trailers.  A
#: faulty server may send them without end.
_MAX_OVERHEAD_BYTES = 64 * 1024
#: Small chunks have several times as many bytes of overhead as of body.
_OVERHEAD_PER_BODY_BYTE = 16
#: Time without reading after which a server may break off its answer.
_UNREAD_S = 1.0
_BODILESS_STATUSES = frozenset((204, 304))


class PendingAnswer:
    """
    Answer that is being received.

    :param sent: the request.
    :param is_head: whether it answers a ``HEAD`` request and so has no body
        regardless of its headers.
    """

    def __init__(self, sent: SentRequest, *, is_head: bool) -> None:
        self.sent = sent
        self.headers: list[Header] = []
        self.head: asyncio.Future[AnswerHead] = (
            asyncio.get_running_loop().create_future()
        )
        self._asked_at_s = uptime_s()
        self.is_finished = False
        self.has_head = False
        self.is_delimited_by_close = False
        self.buffered_bytes = 0
        #: Whether this host did not read for a time that servers may limit.
        self.was_unread = False
        self._paused_at_s: float | None = None
        #: All bytes received since the request, and those of the body.
        self.received_bytes = 0
        self._body_bytes = 0
        self._interim_heads = 0
        self._at_head: TransmissionState | None = None
        self.is_head = is_head
        self._chunks: list[bytes] = []
        self._failure: AnswerError | None = None
        self._updated = asyncio.Event()

    @property
    def has_excess_overhead(self) -> bool:
        """Whether more bytes than allowed are not part of the body."""
        allowed = (
            _MAX_OVERHEAD_BYTES + _OVERHEAD_PER_BODY_BYTE * self._body_bytes
        )
        return self.received_bytes - self._body_bytes > allowed

    def note_paused(self) -> None:
        """Note that this host reads no more for now."""
        if self._paused_at_s is None:
            self._paused_at_s = asyncio.get_running_loop().time()

    def note_resumed(self) -> None:
        """Note that this host reads again."""
        if self._paused_at_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        self.was_unread |= now_s - self._paused_at_s >= _UNREAD_S
        self._paused_at_s = None

    def drop_interim_head(self) -> None:
        """
        Forget the head of an interim response.

        :raises InvalidAnswer: it states a body, or is one too many.
        """
        self._interim_heads += 1
        text_by_name = {header.name: header.text for header in self.headers}
        fault = find_interim_fault(text_by_name, self._interim_heads)
        if fault:
            raise InvalidAnswer('interim', fault)
        self.headers.clear()

    def complete_head(self, status: int) -> None:
        """
        Build the head from the headers received so far.

        :param status: HTTP status.
        """
        names = {header.name for header in self.headers}
        has_length = (
            bool(names & {b'content-length', b'transfer-encoding'})
            or status in _BODILESS_STATUSES
            or self.is_head
        )
        self.is_delimited_by_close = not has_length
        if not has_length:
            self._at_head = self.sent.observe()
        self.has_head = True
        head = AnswerHead(
            status, tuple(self.headers), has_length, self._asked_at_s
        )
        if not self.head.done():
            self.head.set_result(head)
        if self.is_head:
            self.mark_complete()

    def find_incompleteness(self) -> str:
        """Return why the answer may be incomplete, empty if it is complete."""
        at_end = self.sent.observe()
        return find_incompleteness(
            self.sent.size, self._at_head or at_end, at_end
        )

    def append_body(self, body: bytes) -> None:
        """Buffer bytes of the body; ignored after the end of the answer."""
        if self.is_finished:
            return
        self._chunks.append(body)
        self._body_bytes += len(body)
        self.buffered_bytes += len(body)
        self._updated.set()

    def mark_complete(self) -> None:
        """Mark the answer as completely received."""
        self.is_finished = True
        self._updated.set()

    def mark_failed(self, failure: AnswerError) -> None:
        """
        Mark the answer as failed.

        :param failure: error that readers get.
        """
        self.is_finished = True
        self._failure = failure
        if not self.head.done():
            self.head.set_exception(failure)
            # Marks the exception as retrieved, so that asyncio logs no
            # warning if nothing awaits the head any more.
            self.head.exception()
        self._updated.set()

    async def next_chunk(self) -> bytes:
        """
        Wait for and return the buffered bytes, empty at the end.

        :raises AnswerError: the answer failed; bytes received before the
            failure are returned first.
        """
        while not self._chunks and not self.is_finished:
            self._updated.clear()
            await self._updated.wait()
        if self._chunks:
            body = b''.join(self._chunks)
            self._chunks.clear()
            self.buffered_bytes = 0
            return body
        if self._failure is not None:
            raise self._failure
        return b''
