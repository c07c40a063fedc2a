"""HTTP server that runs an ASGI application in the current event loop."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import socket
from collections.abc import Callable, Iterator
from typing import Any, cast

import httptools
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .addresses import Address, limit_silence
from .idle_time import IdleTimeout
from .logs import PartLogger

__all__ = ['TARGET_KEY', 'HttpServer', 'ServingLimits']

#: Key of the ASGI scope that holds the unmodified request target as bytes.
TARGET_KEY = 'bronzesill.target'

_BACKLOG = 2048
_HEADER_OVERHEAD_BYTES = 4
_FLUSH_POLL_S = 0.01
_log = PartLogger('serving')

_ERROR_RESPONSE = (
    'HTTP/1.1 {0}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
)


class _Server(uvicorn.Server):
    """Uvicorn server that does not install signal handlers."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """End :meth:`main_loop`."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Wait for the exit; uvicorn's own loop wakes ten times a second."""
        await self._exit_requested.wait()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Open the sockets and set the event ``listening``."""
        await super().startup(sockets=sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing; the program installs its own signal handlers."""
        yield


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


class _LimitedProtocol(HttpToolsProtocol):
    """
    HTTP connection with limits and without request pipelining.

    The unmodified request target is stored in the ASGI scope under
    ``TARGET_KEY``.  Data received after a complete request that has not been
    answered is discarded, and the connection is closed after the response to
    that request.

    :param get_limits: returns the current limits.
    """

    def __init__(
        self,
        get_limits: Callable[[], ServingLimits],
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._get_limits = get_limits
        self._limits = get_limits()
        self._timer: asyncio.TimerHandle | None = None
        self._idle = IdleTimeout(
            lambda: get_limits().idle_timeout_s, self._close_idle
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

    def on_response_complete(self) -> None:
        """Begin the idle time before the next request."""
        super().on_response_complete()
        # Uvicorn's own timeout keeps the limit with which it began.
        self._unset_keepalive_if_required()
        if not self.transport.is_closing():
            self._idle.begin()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running timeouts."""
        self._cancel_timer()
        self._idle.end()
        super().connection_lost(exc)

    @property
    def _has_unanswered_request(self) -> bool:
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return not cycle.more_body

    def _close_idle(self) -> None:
        self.transport.close()

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


class _PipelinedRequest(Exception):
    """A request was pipelined before the previous one was answered."""


class HttpServer:
    """
    HTTP server with one listening socket.

    The socket is bound on construction, so that :attr:`address` holds the
    actual port before the server is started.

    :param make_app: builds the ASGI application when the server is started.
    :param address: address to listen on; port 0 selects a free port.
    :param get_limits: returns the current limits of connections.
    :param listener: socket that is bound to the address already.
    """

    def __init__(
        self,
        make_app: Callable[[], Any],
        address: Address,
        get_limits: Callable[[], ServingLimits] = ServingLimits,
        listener: socket.socket | None = None,
    ) -> None:
        self._socket = listener or _bind(address)
        self.address = Address(address.ip, self._socket.getsockname()[1])
        self._make_app = make_app
        self._get_limits = get_limits
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self._server.server_state.tasks) if self._server else 0

    async def start(self) -> None:
        """Start to accept connections."""
        server = _Server(_uvicorn_config(self._make_app(), self._get_limits))
        self._server = server
        self._task = asyncio.create_task(server.serve(sockets=[self._socket]))
        await server.listening.wait()

    async def stop(self) -> None:
        """Stop accepting connections and wait for running requests."""
        if self._server is not None and self._task is not None:
            self._server.request_exit()
            await self._task
        self._socket.close()

    async def close(self, flush_s: float) -> None:
        """
        Close all connections, and let answers that were sent arrive.

        What a slow caller has not read yet is still written; requests that
        are not answered are aborted.

        :param flush_s: longest time in seconds until all is written.
        """
        server = self._server
        if server is not None:
            for listener in server.servers:
                listener.close()
            self._close_written(tuple(server.server_state.connections))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(_wait_until_closed(server), flush_s)
        await self.kill()

    def abort_connections(self) -> None:
        """Abort all connections, as a failure of the network does."""
        if self._server is not None:
            for connection in tuple(self._server.server_state.connections):
                connection.transport.abort()

    async def kill(self) -> None:
        """Abort all connections immediately, as a process crash does."""
        server = self._server
        if server is None or self._task is None or self._task.done():
            self._socket.close()
            return
        server.force_exit = True
        server.request_exit()
        for listener in server.servers:
            listener.close()
        self.abort_connections()
        for request in tuple(server.server_state.tasks):
            request.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._socket.close()

    def _close_written(self, connections: tuple[Any, ...]) -> None:
        unanswered = [
            connection
            for connection in connections
            if not _close_when_written(connection)
        ]
        if unanswered:
            _log.event(
                'connections_aborted',
                address=str(self.address),
                count=len(unanswered),
                has_begun=sum(map(_has_begun_answer, unanswered)),
            )


async def _wait_until_closed(server: uvicorn.Server) -> None:
    while server.server_state.connections:
        await asyncio.sleep(_FLUSH_POLL_S)


def _close_when_written(connection: Any) -> bool:
    """Close a connection whose request is answered, else abort it."""
    cycle = connection.cycle
    is_answered = cycle is None or bool(cycle.response_complete)
    if is_answered:
        connection.transport.close()
    else:
        connection.transport.abort()
    return is_answered


def _has_begun_answer(connection: Any) -> bool:
    return bool(connection.cycle.response_started)


def _bind(address: Address) -> socket.socket:
    # asyncio disables Nagle's algorithm only if the protocol is given.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.ip, address.port))
    return listener


def _uvicorn_config(
    app: Any, get_limits: Callable[[], ServingLimits]
) -> uvicorn.Config:
    protocol: Any = functools.partial(_LimitedProtocol, get_limits)
    return uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        lifespan='off',
        backlog=_BACKLOG,
        http=protocol,
        ws='none',
    )
