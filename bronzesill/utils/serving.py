"""HTTP server that runs an ASGI application in the current event loop."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn

from .addresses import Address
from .connections import (
    TARGET_KEY,
    ConnectionPhase,
    LimitedConnection,
    ServingLimits,
)
from .logs import PartLogger
from .unread_answers import CountedConnection, SetUnread, ignore_unread

__all__ = ['TARGET_KEY', 'HttpServer', 'ServingLimits']

_BACKLOG = 2048
_FLUSH_POLL_S = 0.01
#: Passes of the event loop after which what has arrived is read.
_READ_PASSES = 8
_log = PartLogger('serving')


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

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Wait for requests; if all were aborted, end without a pause."""
        if not self.force_exit:
            await super().shutdown(sockets=sockets)

    def make_connection(self) -> asyncio.Protocol:
        """Return the protocol of a connection that was accepted."""
        connection: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        return connection

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing; the program installs its own signal handlers."""
        yield


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
        #: Called with what callers have not read, before the start.
        self.set_unread: SetUnread = ignore_unread
        self._make_app = make_app
        self._get_limits = get_limits
        self._phase = ConnectionPhase()
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self._server.server_state.tasks) if self._server else 0

    async def start(self) -> None:
        """Start to accept connections."""
        server = _Server(
            _uvicorn_config(
                self._make_app(),
                self._get_limits,
                self._phase,
                self.set_unread,
            )
        )
        self._server = server
        self._task = asyncio.create_task(server.serve(sockets=[self._socket]))
        await server.listening.wait()

    async def stop(self) -> None:
        """Stop accepting connections and wait for running requests."""
        if self._server is not None and self._task is not None:
            self._server.request_exit()
            await self._task
        self._socket.close()

    def announce_close(self) -> None:
        """Close each connection after its next answer, and say so in it."""
        self._phase.is_ending = True

    async def close(self, flush_s: float) -> None:
        """
        Close all connections, and let answers that were sent arrive.

        Connections that wait to be accepted are accepted first, and requests
        that wait to be read are read: they get an answer too.  What a slow
        caller has not read yet is still written; requests that are not
        answered in time are aborted.

        :param flush_s: longest time in seconds until all is written.
        """
        server = self._server
        if server is not None and not server.force_exit:
            self.announce_close()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(flush_s):
                    await self._try_accept_waiting(server)
                    await _end_connections(server)
            self._log_unanswered(server)
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

    async def _try_accept_waiting(self, server: _Server) -> None:
        try:
            await self._accept_waiting(server)
        except OSError as error:
            # The connections that are open get their answers all the same.
            _log.warning('%s: not accepted: %s', self.address, error)

    async def _accept_waiting(self, server: _Server) -> None:
        """Stop to listen once no connection waits to be accepted."""
        loop = asyncio.get_running_loop()
        # A connection that was accepted is dropped if the server is closed
        # before the event loop has set it up.
        loop.remove_reader(self._socket)
        await _let_loop_run()
        with self._socket.dup() as listener:
            for accepting in server.servers:
                accepting.close()
            accepted = list(_accept_all(listener))
        for connected in accepted:
            await loop.connect_accepted_socket(
                server.make_connection, connected
            )

    def _log_unanswered(self, server: _Server) -> None:
        unanswered = [
            connection
            for connection in _connections(server)
            if not connection.is_answered
        ]
        if unanswered:
            _log.event(
                'connections_aborted',
                address=str(self.address),
                count=len(unanswered),
                has_begun=sum(
                    connection.has_begun_answer for connection in unanswered
                ),
            )


def _connections(server: uvicorn.Server) -> tuple[LimitedConnection, ...]:
    connections: Any = server.server_state.connections
    return tuple(connections)


def _accept_all(listener: socket.socket) -> Iterator[socket.socket]:
    listener.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            connected, _ = listener.accept()
            connected.setblocking(False)
            yield connected


async def _let_loop_run() -> None:
    """Let the event loop set up connections and read what has arrived."""
    for _ in range(_READ_PASSES):
        await asyncio.sleep(0)


async def _end_connections(server: uvicorn.Server) -> None:
    await _let_loop_run()
    for connection in _connections(server):
        connection.end()
    while server.server_state.connections:
        await asyncio.sleep(_FLUSH_POLL_S)


def _bind(address: Address) -> socket.socket:
    # asyncio disables Nagle's algorithm only if the protocol is given.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.ip, address.port))
    return listener


def _uvicorn_config(
    app: Any,
    get_limits: Callable[[], ServingLimits],
    phase: ConnectionPhase,
    set_unread: SetUnread = ignore_unread,
) -> uvicorn.Config:
    protocol: Any = functools.partial(
        CountedConnection, set_unread, get_limits, phase
    )
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
