"""Connections of an HTTP server, with limits and an orderly end."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from collections.abc import Awaitable, Callable
from typing import Any, cast

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .addresses import limit_silence

__all__ = [
    'TARGET_KEY',
    'ConnectionPhase',
    'LimitedConnection',
    'ServingLimits',
]

#: Key of the ASGI scope that holds the unmodified request target as bytes.
TARGET_KEY = 'bronzesill.target'

_HEADER_OVERHEAD_BYTES = 4
#: Time for the caller to close its side of a connection that is closed.
_CALLER_CLOSE_S = 0.1
#: Time for the caller to end an upload that was answered before its end, and
#: to read the answer, which a reset would discard.
_UPLOAD_CLOSE_S = 2.0
#: Time for the first request on a connection that is to be closed.
_FIRST_REQUEST_S = 0.2

_ERROR_RESPONSE = (
    'HTTP/1.1 {0}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
)


_NOT_RUN = '503 Service Unavailable'


class ConnectionPhase:
    """What holds for all connections of a server."""

    def __init__(self) -> None:
        #: Whether connections are closed after their next answer.
        self.is_ending = False


class _LastAnswer:
    """
    Transport of the last answer on a connection.

    :param transport: transport of the connection.
    :param close: closes the connection for writing.
    """

    def __init__(
        self, transport: asyncio.Transport, close: Callable[[], None]
    ) -> None:
        self.close = close
        self.write = transport.write
        self.is_closing = transport.is_closing


class _AnswerSender:
    """
    Sends an answer, which may begin before its request has been read.

    The connection is closed after such an answer, so that the rest of the
    request is not taken for the next one.

    :param cycle: the request and its answer.
    :param announce_close: has the connection closed after the answer.
    """

    def __init__(self, cycle: Any, announce_close: Callable[[], None]) -> None:
        self._cycle = cycle
        self._send: Callable[[Any], Awaitable[None]] = cycle.send
        self._announce_close = announce_close

    async def __call__(self, message: Any) -> None:
        """Send an ASGI message."""
        is_start = message['type'] == 'http.response.start'
        if is_start and self._cycle.more_body:
            self._announce_close()
        await self._send(message)


@dataclasses.dataclass(frozen=True)
class ServingLimits:
    """
    Limits of a client connection.

    :param max_head_bytes: maximum size of the request line and headers.
    :param head_timeout_s: seconds within which the head has to arrive.
    :param idle_timeout_s: seconds until an idle connection is closed.
    """

    max_head_bytes: int = 65_536
    head_timeout_s: float = 10
    idle_timeout_s: float = 60


class IdleTimeout:
    """
    Timeout of an idle connection.

    A limit that is raised while the connection is idle holds for it too.

    :param get_limit_s: returns the current limit in seconds.
    :param on_timeout: called when the connection has been idle for the limit.
    """

    def __init__(
        self,
        get_limit_s: Callable[[], float],
        on_timeout: Callable[[], object],
    ) -> None:
        self._get_limit_s = get_limit_s
        self._on_timeout = on_timeout
        self._began_at_s: float = 0
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Begin a new idle time."""
        self.end()
        self._began_at_s = asyncio.get_running_loop().time()
        self._wait(self._get_limit_s())

    def extend(self) -> None:
        """Begin the idle time again if the connection is idle."""
        if self._timer is not None:
            self.begin()

    def end(self) -> None:
        """End the idle time; it has no effect if the connection is not idle."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        idle_s = asyncio.get_running_loop().time() - self._began_at_s
        remaining_s = self._get_limit_s() - idle_s
        if remaining_s > 0:
            self._wait(remaining_s)
        else:
            self._on_timeout()


class LimitedConnection(HttpToolsProtocol):
    """
    HTTP connection with limits and without request pipelining.

    The unmodified request target is stored in the ASGI scope under
    ``TARGET_KEY``.  Data received after a complete request that has not been
    answered is discarded, and the connection is closed after the response to
    that request.

    :param get_limits: returns the current limits.
    :param phase: what holds for all connections of the server.
    """

    def __init__(
        self,
        get_limits: Callable[[], ServingLimits],
        phase: ConnectionPhase,
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._get_limits = get_limits
        self._phase = phase
        self._limits = get_limits()
        self._timer: asyncio.TimerHandle | None = None
        self._idle = IdleTimeout(
            lambda: get_limits().idle_timeout_s, lambda: self.transport.close()
        )
        self._head_bytes = 0
        #: Whether ``cycle`` belongs to the request that began last.
        self._has_head = False
        self._is_closing = False

    def connection_made(
        self,
        transport: asyncio.Transport,  # type: ignore[override]
    ) -> None:
        """Start the idle timeout of the first request."""
        super().connection_made(transport)
        limit_silence(transport)
        self._idle.begin()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless a response is still outstanding."""
        if self._is_closing or self._has_unanswered_request:
            # Pipelined data: the previous request has not been answered yet.
            self._close_after_response()
            return
        self._limits = self._get_limits()
        self._idle.extend()
        try:
            super().data_received(data)
        except httptools.HttpParserUpgrade:
            self.reject('400 Bad Request')

    def send_400_response(self, msg: str) -> None:
        """Reject invalid HTTP, unless a response is outstanding."""
        if self._is_closing:
            return
        if self._has_unanswered_request:
            self._close_after_response()
            return
        self.reject('400 Bad Request')

    def reject(self, status_line: str) -> None:
        """
        Send an empty error response and close the connection.

        The response is omitted if the application has already started one to
        the request that began last.

        :param status_line: status code and reason phrase.
        """
        if self._is_closing or self.transport.is_closing():
            return
        self._is_closing = True
        self._cancel_timer()
        if not self._has_head or not self.cycle.response_started:
            self.transport.write(_ERROR_RESPONSE.format(status_line).encode())
        self.transport.close()

    def on_message_begin(self) -> None:
        """Start the timeout for the rest of the head."""
        if self._has_unanswered_request:
            raise _PipelinedRequest
        super().on_message_begin()
        self._head_bytes = 0
        self._has_head = False
        self._idle.end()
        self._start_timer(self._limits.head_timeout_s, self._on_head_timeout)

    def on_url(self, url: bytes) -> None:
        """Add the request target to the size of the head."""
        super().on_url(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the size of the head."""
        super().on_header(name, value)
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Cancel the timeout and start the application."""
        self._cancel_timer()
        if self._is_closing:
            return
        scope = cast(dict[str, Any], self.scope)
        scope[TARGET_KEY] = self.url
        super().on_headers_complete()
        self._has_head = True
        if self._phase.is_ending:
            self._announce_close()
        cycle: Any = self.cycle
        cycle.send = _AnswerSender(
            cycle, functools.partial(self._announce_close, _UPLOAD_CLOSE_S)
        )

    def on_response_complete(self) -> None:
        """Begin the idle time before the next request."""
        _remove_sender(self.cycle)
        super().on_response_complete()
        # Uvicorn's own timeout keeps the limit with which it began.
        self._unset_keepalive_if_required()
        if not self.transport.is_closing():
            self._idle.begin()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running timeouts."""
        self._cancel_timer()
        self._idle.end()
        _remove_sender(self.cycle)
        super().connection_lost(exc)

    @property
    def is_answered(self) -> bool:
        """Whether the answer to the last request is complete, if any."""
        return self.cycle is None or bool(self.cycle.response_complete)

    @property
    def has_begun_answer(self) -> bool:
        """Whether an answer has begun that is not complete."""
        return not self.is_answered and bool(self.cycle.response_started)

    def end(self) -> None:
        """
        Close the connection after the answer to the request that it carries.

        Without a request it is closed now, or, if it never had one, after a
        short wait for it.  A request that is not complete is refused: it has
        not been run.
        """
        if self.is_answered:
            self._end_between_requests()
        elif self.cycle.more_body:
            self._refuse_rest()
        else:
            self._announce_close()

    def _end_between_requests(self) -> None:
        if self._is_closing:
            return
        if self._is_within_head:
            self._refuse_rest()
        elif self.cycle is None:
            # The caller has just connected to send a request.
            self._start_timer(_FIRST_REQUEST_S, self._close_for_writing)
        else:
            self._close_for_writing()

    @property
    def _is_within_head(self) -> bool:
        return self._head_bytes > 0 and self._timer is not None

    def _refuse_rest(self) -> None:
        """Refuse a request that is not complete, unless it is answered."""
        if not self.has_begun_answer:
            self.transport.write(_ERROR_RESPONSE.format(_NOT_RUN).encode())
        if not self.is_answered:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._close_for_writing()

    def _announce_close(self, wait_s: float = _CALLER_CLOSE_S) -> None:
        cycle: Any = self.cycle
        cycle.keep_alive = False
        cycle.transport = _LastAnswer(
            self.transport, functools.partial(self._close_for_writing, wait_s)
        )

    def _close_for_writing(self, wait_s: float = _CALLER_CLOSE_S) -> None:
        """
        Close after what was written; the caller closes its side.

        Closing both sides at once resets the connection if the caller has
        sent more, and with it an answer that is on its way.

        :param wait_s: time in seconds for the caller.
        """
        self._is_closing = True
        if self.transport.is_closing():
            return
        self._start_timer(wait_s, self.transport.close)
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection, which was not read yet.
            self.transport.abort()

    @property
    def _has_unanswered_request(self) -> bool:
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return not cycle.more_body

    def _close_after_response(self) -> None:
        self._is_closing = True
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def _on_head_timeout(self) -> None:
        self.reject('408 Request Timeout')

    def _count_head(self, count: int) -> None:
        self._head_bytes += count + _HEADER_OVERHEAD_BYTES
        if self._head_bytes > self._limits.max_head_bytes:
            self.reject('431 Request Header Fields Too Large')

    def _start_timer(
        self, seconds: float, on_timeout: Callable[[], object]
    ) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _remove_sender(cycle: Any) -> None:
    """Let a request send by itself, so that both are freed at once."""
    if cycle is not None:
        vars(cycle).pop('send', None)


class _PipelinedRequest(Exception):
    """A request was pipelined before the previous one was answered."""
