"""HTTP/1.1 client connection to a backend server, on ``httptools``."""

from __future__ import annotations

import asyncio
import re
from typing import cast

import httptools

from ..utils import has_pending_end, limit_silence
from .answer import (
    AnswerError,
    AnswerHead,
    AnswerUnread,
    ConnectionLost,
    Header,
    InvalidAnswer,
    RequestNotSent,
    RequestUnread,
)
from .completeness import RESET_WAIT_S, needs_reset_wait
from .pending_answer import PendingAnswer
from .sent_bytes import SentRequest, count_unsent, is_reset
from .statuses import StatusKind, classify_status

__all__ = ['UpstreamConnection']

_MAX_BUFFERED_BYTES = 256 * 1024
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [0-9]{3}')
#: Time for a server to read the rest of a request that it has answered.
_FINISH_WRITING_S = 5.0


class UpstreamConnection(asyncio.Protocol):
    """
    HTTP connection that carries one request at a time.

    Bytes that arrive while no answer is pending cannot be attributed to a
    request, so they abort the connection.
    """

    def __init__(self) -> None:
        #: Loop time since which the connection is idle, in seconds.
        self.idle_since_s: float = 0
        #: Loop time after which the server may close the connection, 0 if
        #: unknown.
        self.usable_until_s: float = 0
        #: Whether the server stated that time.
        self.is_timeout_stated = False
        self.served = 0
        #: Whether it leads through another host.
        self.is_relayed = False
        #: Name of the host through which it leads, empty for none.
        self.relayed_by = ''
        #: Loop time at which it was opened or last delivered bytes.
        self.received_at_s: float = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: PendingAnswer | None = None
        self._is_usable = True
        self._is_aborted = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open, idle and fit for another request."""
        transport = self._transport
        return (
            self._is_usable
            and self._answer is None
            and transport is not None
            and not transport.is_closing()
        )

    @property
    def has_pending_end(self) -> bool:
        """Whether an end or data of an idle connection was not read yet."""
        transport = self._transport
        return transport is not None and has_pending_end(transport)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a request has not arrived at the server."""
        return self._transport is not None and bool(
            count_unsent(self._transport)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        limit_silence(transport)
        self._transport = cast(asyncio.Transport, transport)
        self.received_at_s = asyncio.get_running_loop().time()

    async def send(self, request: bytes, *, is_head: bool) -> AnswerHead:
        """
        Send a request and wait for the head of its answer.

        :param request: the serialized request, including its body.
        :param is_head: whether the method is ``HEAD``, so that the answer has
            no body regardless of its headers.
        :raises RequestNotSent: the connection was closed before.
        :raises AnswerError: the connection closed before a head arrived, or
            the head is invalid.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise RequestNotSent('connection closed before the request')
        sent = SentRequest(transport, len(request))
        answer = PendingAnswer(sent, is_head=is_head)
        self._answer = answer
        transport.write(request)
        return await answer.head

    async def read(self) -> bytes:
        """
        Return the next bytes of the body, empty at its end.

        :raises AnswerError: the answer is truncated or invalid.
        """
        answer = self._answer
        if answer is None:
            return b''
        body = await answer.next_chunk()
        if self._transport is not None:
            answer.note_resumed()
            self._transport.resume_reading()
        if not body:
            self._answer = None
        return body

    def fail(self, error: AnswerError) -> None:
        """
        Abort the connection and fail a pending answer.

        :param error: error that readers of the answer get.
        """
        answer = self._answer
        if answer is not None and not answer.is_finished:
            answer.mark_failed(error)
        self.close()

    def close(self) -> None:
        """Abort the connection at once, discarding a pending answer."""
        self._is_usable = False
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    def finish_writing(self) -> None:
        """Close the connection once the server has taken the request."""
        self._is_usable = False
        transport = self._transport
        if transport is not None:
            transport.close()
            loop = asyncio.get_running_loop()
            loop.call_later(_FINISH_WRITING_S, transport.abort)

    def data_received(self, data: bytes) -> None:
        """
        Feed received bytes to the parser.

        Reading is paused when more than ``_MAX_BUFFERED_BYTES`` of the body
        are buffered, until the next ``read``.
        """
        self.received_at_s = asyncio.get_running_loop().time()
        answer = self._answer
        if answer is None or answer.is_finished:
            self._fail_connection(
                InvalidAnswer('second', 'unexpected bytes outside of an answer')
            )
            return
        answer.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail_connection(_find_cause(error))
            return
        if answer.has_excess_overhead:
            self._fail_connection(
                InvalidAnswer('overhead', 'too many bytes outside of the body')
            )
            return
        if answer.buffered_bytes > _MAX_BUFFERED_BYTES and self._transport:
            answer.note_paused()
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """
        Return whether to keep the connection open to see a reset.

        An answer that ends here fails unless the request has arrived.
        """
        answer = self._answer
        if answer is None or answer.is_finished:
            return False
        if not answer.is_delimited_by_close:
            return False
        cause = answer.find_incompleteness()
        if cause:
            self._fail_connection(RequestUnread(f'answer {cause}'))
        has_socket = self._has_socket
        if cause or not has_socket or not needs_reset_wait(answer.sent.size):
            return False
        self._is_usable = False
        loop = asyncio.get_running_loop()
        loop.call_later(RESET_WAIT_S, self._end_after_wait, answer)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """
        Complete or fail the pending answer.

        An answer without a length is complete if the server closed the
        connection without an error; any other pending answer fails.
        """
        self._is_usable = False
        answer = self._answer
        if answer is None or answer.is_finished:
            return
        is_clean = error is None and not self._is_aborted
        if is_clean and answer.is_delimited_by_close:
            answer.mark_complete()
            return
        detail = f'connection lost: {error!r}'
        if answer.was_unread:
            answer.mark_failed(AnswerUnread(detail))
        else:
            answer.mark_failed(ConnectionLost(detail))

    def on_status(self, reason: bytes) -> None:
        """
        Check the text of the status line.

        :raises ValueError: it contains the beginning of another answer.
        """
        _refuse_second_status(reason)

    def on_header(self, name: bytes, text: bytes) -> None:
        """
        Append a parsed header to the pending answer.

        :raises ValueError: it contains the beginning of another answer.
        """
        _refuse_second_status(text)
        if self._answer is not None:
            self._answer.headers.append(
                Header(name.lower(), text.strip(b' \t'))
            )

    def on_headers_complete(self) -> None:
        """
        Complete the head; heads of interim responses are dropped.

        :raises InvalidAnswer: it is neither that of an answer nor that of an
            interim response.
        """
        answer = self._answer
        if answer is None or answer.is_finished:
            return
        status = self._parser.get_status_code()
        kind = classify_status(status)
        if kind is StatusKind.INVALID:
            raise InvalidAnswer('status', f'status {status}')
        if kind is StatusKind.INTERIM:
            answer.drop_interim_head()
            return
        # The parser takes an answer to HEAD to have the body that it states.
        if answer.is_head or not self._parser.should_keep_alive():
            self._is_usable = False
        answer.complete_head(status)

    def on_body(self, body: bytes) -> None:
        """Append parsed bytes of the body to the pending answer."""
        if self._answer is not None:
            self._answer.append_body(body)

    def on_message_complete(self) -> None:
        """Complete the pending answer; a second one fails the connection."""
        answer = self._answer
        if answer is None or not answer.has_head:
            return
        if answer.is_finished:
            self._fail_connection(
                InvalidAnswer('second', 'second answer to one request')
            )
            return
        answer.mark_complete()

    def on_message_begin(self) -> None:
        """Bar reuse if another answer follows the one that was requested."""
        answer = self._answer
        if answer is not None and answer.is_finished:
            self._is_usable = False

    @property
    def _has_socket(self) -> bool:
        transport = self._transport
        return (
            transport is not None
            and transport.get_extra_info('socket') is not None
        )

    def _end_after_wait(self, answer: PendingAnswer) -> None:
        transport = self._transport
        if transport is None or answer.is_finished:
            return
        if is_reset(transport):
            self._fail_connection(
                RequestUnread('connection reset after the end of the answer')
            )
            return
        answer.mark_complete()
        transport.abort()

    def _fail_connection(self, error: AnswerError) -> None:
        self._is_usable = False
        answer = self._answer
        if answer is not None and not answer.is_finished:
            answer.mark_failed(error)
        if self._transport is not None:
            self._transport.abort()


def _find_cause(error: Exception) -> InvalidAnswer:
    """Return the error that a callback of the parser raised, if any."""
    cause = error.__context__
    if isinstance(cause, InvalidAnswer):
        return cause
    return InvalidAnswer('syntax', str(error))


def _refuse_second_status(text: bytes) -> None:
    """
    Reject a head that was cut off within a line and joined by the next one.

    Its status would belong to one answer and its last headers to another.

    :raises ValueError: the text contains a status line.
    """
    if _STATUS_LINE.search(text):
        raise ValueError('a head within another head')
