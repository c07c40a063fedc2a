"""A falcon application on uvicorn inside a running event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .addresses import Address

__all__ = ['HttpServer']

_BACKLOG = 2048
_HEAD_TIMEOUT_S = 10.0


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


class _TimedProtocol(HttpToolsProtocol):
    """Connection that is closed if a request's head does not come."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(
        self,
        transport: asyncio.Transport,  # type: ignore[override]
    ) -> None:
        """Begin to wait for the first head."""
        super().connection_made(transport)
        self._wait_for_head()

    def on_message_begin(self) -> None:
        """Begin to wait for the rest of a head."""
        super().on_message_begin()
        self._wait_for_head()

    def on_headers_complete(self) -> None:
        """Stop waiting."""
        self._stop_waiting()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_waiting()
        super().connection_lost(exc)

    def _wait_for_head(self) -> None:
        self._stop_waiting()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_HEAD_TIMEOUT_S, self.transport.close)

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HttpServer:
    """
    Owner of one listening HTTP socket.

    :param make_app: builds the ASGI application when serving begins.
    :param address: where to listen; port 0 takes any free port.
    """

    def __init__(self, make_app: Callable[[], Any], address: Address) -> None:
        # With the protocol named, asyncio turns off Nagle's algorithm.
        self._socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((address.ip, address.port))
        self.address = Address(address.ip, self._socket.getsockname()[1])
        self._make_app = make_app
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to accept connections."""
        server = _Server(_uvicorn_config(self._make_app()))
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


def _uvicorn_config(app: Any) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan='off',
        backlog=_BACKLOG,
        http=_TimedProtocol,
        ws='none',
    )
