"""A falcon application on uvicorn inside a running event loop."""

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

from .addresses import Address

__all__ = ['TARGET_KEY', 'HttpServer', 'ServingLimits']

#: Key of the scope under which the target stands as it came, in bytes.
TARGET_KEY = 'bronzesill.target'

_BACKLOG = 2048
_HEADER_OVERHEAD_BYTES = 4
_REFUSAL = 'HTTP/1.1 {0}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'


class _Server(uvicorn.Server):
    """Uvicorn server that leaves signals to the program around it."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Open the sockets and tell who waits for it."""
        await super().startup(sockets=sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling as it is."""
        yield


@dataclasses.dataclass(frozen=True)
class ServingLimits:
    """
    What a connection's other side may do.

    :param max_head_bytes: largest request line with headers.
    :param head_timeout_s: seconds it may take to send them.
    :param idle_timeout_s: seconds it may be idle between two requests.
    """

    max_head_bytes: int = 65_536
    head_timeout_s: float = 10
    idle_timeout_s: float = 60


class _LimitedProtocol(HttpToolsProtocol):
    """
    Connection with limits that takes one request at a time.

    A request's bytes as they came on the request line are put into the
    scope as ``TARGET_KEY``.  What is sent behind a request that has not been
    answered is not read: the connection ends with that answer.

    :param find_limits: gives the limits now in force.
    """

    def __init__(
        self,
        find_limits: Callable[[], ServingLimits],
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._find_limits = find_limits
        self._limits = find_limits()
        self._timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._is_over = False

    def connection_made(
        self,
        transport: asyncio.Transport,  # type: ignore[override]
    ) -> None:
        """Begin to wait for the first head."""
        super().connection_made(transport)
        self._set_idle_timeout()
        self._wait(self._limits.idle_timeout_s, self.transport.close)

    def data_received(self, data: bytes) -> None:
        """Take in bytes of one request at a time."""
        if self._is_over or self._has_open_request:
            # Sent behind a request that is not answered yet.
            self._end_with_answer()
            return
        self._limits = self._find_limits()
        self._set_idle_timeout()
        try:
            super().data_received(data)
        except httptools.HttpParserUpgrade:
            self.refuse('400 Bad Request')

    def send_400_response(self, msg: str) -> None:
        """Refuse what is no request, unless an answer is under way."""
        if self._is_over:
            return
        if self._has_open_request:
            self._end_with_answer()
            return
        self.refuse('400 Bad Request')

    def refuse(self, status_line: str) -> None:
        """Answer a request that was not read to its end and close."""
        if self._is_over or self.transport.is_closing():
            return
        self._is_over = True
        self._stop_waiting()
        if self.cycle is None or not self.cycle.response_started:
            self.transport.write(_REFUSAL.format(status_line).encode())
        self.transport.close()

    def on_message_begin(self) -> None:
        """Begin to wait for the rest of a head."""
        if self._has_open_request:
            raise _RequestBehind
        super().on_message_begin()
        self._head_bytes = 0
        self._wait(self._limits.head_timeout_s, self._head_is_late)

    def on_url(self, url: bytes) -> None:
        """Count the bytes of the request line."""
        super().on_url(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the bytes of a header."""
        super().on_header(name, value)
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Stop waiting and begin to answer."""
        self._stop_waiting()
        if self._is_over:
            return
        scope = cast(dict[str, Any], self.scope)
        scope[TARGET_KEY] = self.url
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_waiting()
        super().connection_lost(exc)

    @property
    def _has_open_request(self) -> bool:
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return not cycle.more_body

    def _set_idle_timeout(self) -> None:
        # Declared as whole seconds, handed to the loop as it is.
        idle_s: Any = self._limits.idle_timeout_s
        self.timeout_keep_alive = idle_s

    def _end_with_answer(self) -> None:
        self._is_over = True
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def _head_is_late(self) -> None:
        self.refuse('408 Request Timeout')

    def _count_head(self, count: int) -> None:
        self._head_bytes += count + _HEADER_OVERHEAD_BYTES
        if self._head_bytes > self._limits.max_head_bytes:
            self.refuse('431 Request Header Fields Too Large')

    def _wait(self, seconds: float, on_late: Callable[[], object]) -> None:
        self._stop_waiting()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, on_late)

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _RequestBehind(Exception):
    """A second request came before the first one was answered."""


class HttpServer:
    """
    Owner of one listening HTTP socket.

    :param make_app: builds the ASGI application when serving begins.
    :param address: where to listen; port 0 takes any free port.
    :param find_limits: gives the limits in force for connections.
    """

    def __init__(
        self,
        make_app: Callable[[], Any],
        address: Address,
        find_limits: Callable[[], ServingLimits] = ServingLimits,
    ) -> None:
        # With the protocol named, asyncio turns off Nagle's algorithm.
        self._socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((address.ip, address.port))
        self.address = Address(address.ip, self._socket.getsockname()[1])
        self._make_app = make_app
        self._find_limits = find_limits
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Requests that have not been answered."""
        return len(self._server.server_state.tasks) if self._server else 0

    async def start(self) -> None:
        """Begin to accept connections."""
        server = _Server(_uvicorn_config(self._make_app(), self._find_limits))
        self._server = server
        self._task = asyncio.create_task(server.serve(sockets=[self._socket]))
        await server.listening.wait()

    async def stop(self) -> None:
        """Stop accepting, let running requests end, and return."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            await self._task
        self._socket.close()

    async def kill(self) -> None:
        """Abort all connections at once, as a dying process would."""
        server = self._server
        if server is None or self._task is None or self._task.done():
            self._socket.close()
            return
        server.force_exit = True
        server.should_exit = True
        for listener in server.servers:
            listener.close()
        for connection in tuple(server.server_state.connections):
            connection.transport.abort()
        for request in tuple(server.server_state.tasks):
            request.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._socket.close()


def _uvicorn_config(
    app: Any, find_limits: Callable[[], ServingLimits]
) -> uvicorn.Config:
    protocol: Any = functools.partial(_LimitedProtocol, find_limits)
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
