"""One connection to a backend server, parsed by ``httptools``."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from .answer import AnswerBroken, AnswerHead, Header

__all__ = ['UpstreamConnection']

_BUFFER_BYTES = 256 * 1024
_FIRST_FINAL_STATUS = 200
_BODILESS = frozenset((204, 304))


class UpstreamConnection(asyncio.Protocol):
    """
    A connection that carries one request at a time.

    Bytes that come while no answer is due belong to no request: the
    connection is given up.
    """

    def __init__(self) -> None:
        #: Loop time at which the last answer ended.
        self.idle_since_s: float = 0
        #: Loop time after which the server may close it, 0 for unknown.
        self.usable_until_s: float = 0
        self.served = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: _Answer | None = None
        self._is_sound = True

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        transport = self._transport
        return (
            self._is_sound
            and self._answer is None
            and transport is not None
            and not transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        self._transport = cast(asyncio.Transport, transport)

    async def send(self, request: bytes, *, is_head: bool) -> AnswerHead:
        """
        Send a request and wait for the head of its answer.

        :param request: all its bytes.
        :param is_head: whether the answer has no body whatever it says.
        :raises AnswerBroken: the connection ended before a head came.
        """
        answer = _Answer(is_head=is_head)
        self._answer = answer
        if self._transport is None or self._transport.is_closing():
            raise AnswerBroken('closed before the request was sent')
        self._transport.write(request)
        return await answer.head

    async def read(self) -> bytes:
        """
        Return the next bytes of the body, none at its end.

        :raises AnswerBroken: the answer is not whole.
        """
        answer = self._answer
        if answer is None:
            return b''
        body = await answer.take()
        if self._transport is not None:
            self._transport.resume_reading()
        if not body:
            self._answer = None
        return body

    def close(self) -> None:
        """End the connection at once; a running answer is given up."""
        self._is_sound = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        answer = self._answer
        if answer is None or answer.is_ended:
            self._spoil('bytes that belong to no request')
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._spoil(f'not an answer: {error}')
            return
        if answer.buffered_bytes > _BUFFER_BYTES and self._transport:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Let the connection close."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End a running answer as the way it ended tells."""
        self._is_sound = False
        answer = self._answer
        if answer is None or answer.is_ended:
            return
        if error is None and answer.ends_with_connection:
            answer.end()
            return
        answer.fail(f'connection lost: {error!r}')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take in a header."""
        if self._answer is not None:
            self._answer.headers.append(
                Header(name.lower(), text.strip(b' \t'))
            )

    def on_headers_complete(self) -> None:
        """Take in the end of the head."""
        answer = self._answer
        if answer is None or answer.is_ended:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            answer.headers.clear()
            return
        if not self._parser.should_keep_alive():
            self._is_sound = False
        answer.begin(status)

    def on_body(self, body: bytes) -> None:
        """Take in bytes of the body."""
        if self._answer is not None:
            self._answer.put(body)

    def on_message_complete(self) -> None:
        """Take in the end of the answer."""
        answer = self._answer
        if answer is None or not answer.has_begun:
            return
        if answer.is_ended:
            self._spoil('a second answer')
            return
        answer.end()

    def on_message_begin(self) -> None:
        """Notice an answer behind the one that was due."""
        answer = self._answer
        if answer is not None and answer.is_ended:
            self._is_sound = False

    def _spoil(self, reason: str) -> None:
        self._is_sound = False
        answer = self._answer
        if answer is not None and not answer.is_ended:
            answer.fail(reason)
        if self._transport is not None:
            self._transport.abort()


class _Answer:
    """
    An answer as it comes in.

    :param is_head: whether it has no body whatever it says.
    """

    def __init__(self, *, is_head: bool) -> None:
        self.headers: list[Header] = []
        self.head: asyncio.Future[AnswerHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.is_ended = False
        self.has_begun = False
        self.ends_with_connection = False
        self.buffered_bytes = 0
        self._is_head = is_head
        self._chunks: list[bytes] = []
        self._fault = ''
        self._arrived = asyncio.Event()

    def begin(self, status: int) -> None:
        """Complete the head."""
        names = {header.name for header in self.headers}
        has_length = (
            bool(names & {b'content-length', b'transfer-encoding'})
            or status in _BODILESS
            or self._is_head
        )
        self.ends_with_connection = not has_length
        self.has_begun = True
        head = AnswerHead(status, tuple(self.headers), has_length)
        if not self.head.done():
            self.head.set_result(head)
        if self._is_head:
            self.end()

    def put(self, body: bytes) -> None:
        """Add bytes of the body."""
        if self.is_ended:
            return
        self._chunks.append(body)
        self.buffered_bytes += len(body)
        self._arrived.set()

    def end(self) -> None:
        """Mark the answer as whole."""
        self.is_ended = True
        self._arrived.set()

    def fail(self, reason: str) -> None:
        """Mark the answer as broken."""
        self.is_ended = True
        self._fault = reason
        if not self.head.done():
            self.head.set_exception(AnswerBroken(reason))
            # Marks it as seen, should nobody wait any more.
            self.head.exception()
        self._arrived.set()

    async def take(self) -> bytes:
        """
        Return what has come, none at the end.

        :raises AnswerBroken: the answer is not whole.
        """
        while not self._chunks and not self.is_ended:
            self._arrived.clear()
            await self._arrived.wait()
        if self._chunks:
            body = b''.join(self._chunks)
            self._chunks.clear()
            self.buffered_bytes = 0
            return body
        if self._fault:
            raise AnswerBroken(self._fault)
        return b''
