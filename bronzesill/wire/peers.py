"""Request-response exchange between daemons over TCP."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import traceback
from collections.abc import AsyncIterator
from typing import Any, Protocol

from ..utils import (
    Address,
    BronzesillError,
    PartLogger,
    ResultCode,
    limit_silence,
)
from .channel import (
    ChannelHandler,
    FrameReader,
    PeerChannel,
)
from .codec import Envelope, MessageRegistry
from .counters import WireCounters

__all__ = ['PeerClient', 'PeerHandler', 'PeerServer']

_CONNECT_TIMEOUT_S = 0.5
_IDLE_CLOSE_S = 60.0
_MAX_ERROR_CHARS = 200
_MAX_TRACE_CHARS = 2000

_log = PartLogger('wire')


class PeerHandler(Protocol):
    """Handles requests of other daemons."""

    async def handle(self, request: Any) -> Any:
        """
        Handle one request and return its response.

        :param request: instance of a registered message type.
        :returns: instance of a registered message type.
        """


class PeerServer:
    """
    TCP server for requests of other daemons.

    :param address: address to listen on; port 0 selects a free port.
    :param registry: registered message types.
    :param handler: handles the requests.
    :param counters: counters of traffic and dropped frames.
    :param listener: socket that is bound to the address already.
    """

    def __init__(
        self,
        address: Address,
        registry: MessageRegistry,
        handler: PeerHandler,
        counters: WireCounters,
        listener: socket.socket | None = None,
    ) -> None:
        self._address = address
        self._listener = listener
        self._registry = registry
        self._handler = handler
        self._counters = counters
        #: Handlers by type of a message that begins a channel; such a handler
        #: serves the rest of the connection.
        self.channels_by_type: dict[type, ChannelHandler] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Start listening and return the address with the actual port."""
        if self._listener is None:
            self._server = await asyncio.start_server(
                self._accept, self._address.ip, self._address.port
            )
        else:
            self._server = await asyncio.start_server(
                self._accept, sock=self._listener
            )
        port = self._server.sockets[0].getsockname()[1]
        return Address(self._address.ip, port)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        limit_silence(writer)
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reading = FrameReader(reader, self._registry, self._counters)
        frames = reading.envelopes()
        try:
            await self._serve_frames(frames, writer)
        except* OSError:
            self._counters.broken += 1
        finally:
            writer.close()

    async def _serve_frames(
        self, frames: AsyncIterator[Envelope], writer: asyncio.StreamWriter
    ) -> None:
        async with asyncio.TaskGroup() as group:
            async for envelope in frames:
                if self._begins_channel(envelope):
                    await self._serve_channel(envelope, frames, writer)
                    break
                group.create_task(self._respond(envelope, writer))

    def _begins_channel(self, envelope: Envelope) -> bool:
        return envelope.message.__class__ in self.channels_by_type

    async def _serve_channel(
        self,
        first: Envelope,
        frames: AsyncIterator[Envelope],
        writer: asyncio.StreamWriter,
    ) -> None:
        handler = self.channels_by_type[first.message.__class__]
        channel = PeerChannel(frames, writer, self._registry, self._counters)
        await handler(first.message, channel)

    async def _respond(
        self, envelope: Envelope, writer: asyncio.StreamWriter
    ) -> None:
        try:
            response = await self._handler.handle(envelope.message)
            packed = self._registry.encode(response, envelope.exchange_id)
        except Exception as error:
            # The other requests on this connection go on.
            _log.event(
                'request_failed',
                request=type(envelope.message).__name__,
                error=repr(error)[:_MAX_ERROR_CHARS],
                trace=traceback.format_exc()[-_MAX_TRACE_CHARS:],
            )
            return
        self._counters.bytes_out += len(packed)
        writer.write(packed)


class _Connection:
    """An open stream to a peer and its pending requests."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.pending_by_id: dict[int, asyncio.Future[Any]] = {}
        self.next_id = 0
        self.last_used_at_s: float = 0
        self.last_received_at_s: float = 0
        self.task: asyncio.Task[None] | None = None

    def deliver(self, envelope: Envelope) -> None:
        """Complete the pending request that a response belongs to."""
        self.last_received_at_s = asyncio.get_running_loop().time()
        pending = self.pending_by_id.get(envelope.exchange_id)
        if pending is not None and not pending.done():
            pending.set_result(envelope.message)

    def close(self) -> None:
        """Close the stream and fail all pending requests."""
        self.writer.close()
        for pending in self.pending_by_id.values():
            if not pending.done():
                pending.set_exception(_unavailable('connection lost'))
                # Retrieving the exception keeps asyncio from logging it as
                # unhandled if the requester is no longer waiting.
                pending.exception()
        self.pending_by_id.clear()


class PeerClient:
    """
    TCP client that keeps one connection per peer.

    :param registry: registered message types.
    :param counters: counters of traffic and dropped frames.
    """

    def __init__(
        self, registry: MessageRegistry, counters: WireCounters
    ) -> None:
        self._registry = registry
        self._counters = counters
        self._connections_by_address: dict[Address, _Connection] = {}
        self._locks_by_address: dict[Address, asyncio.Lock] = {}

    async def request(
        self, address: Address, request: object, timeout_s: float
    ) -> Any:
        """
        Send a request to a peer and return its response.

        :param address: address on which the peer listens.
        :param request: instance of a registered message type.
        :param timeout_s: timeout in seconds, including the connection setup.
        :raises BronzesillError: ``PEER_UNAVAILABLE`` if the connection fails
            or no response arrives in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(address)
                return await self._exchange(connection, request)
        except (OSError, TimeoutError) as error:
            raise _unavailable(f'{address}: {error!r}') from error

    async def stop(self) -> None:
        """Abort all connections."""
        for connection in tuple(self._connections_by_address.values()):
            connection.writer.transport.abort()
            if connection.task is not None:
                connection.task.cancel()

    def close_idle(self, now_s: float) -> None:
        """Close connections on which no request was sent for 60 s."""
        for connection in tuple(self._connections_by_address.values()):
            if now_s - connection.last_used_at_s > _IDLE_CLOSE_S:
                connection.writer.close()

    async def _exchange(self, connection: _Connection, request: object) -> Any:
        connection.next_id += 1
        exchange_id = connection.next_id
        sent_at_s = asyncio.get_running_loop().time()
        connection.last_used_at_s = sent_at_s
        pending: asyncio.Future[Any] = asyncio.Future()
        connection.pending_by_id[exchange_id] = pending
        packed = self._registry.encode(request, exchange_id)
        self._counters.bytes_out += len(packed)
        connection.writer.write(packed)
        try:
            return await pending
        except asyncio.CancelledError:
            _abort_if_unresponsive(connection, sent_at_s)
            raise
        finally:
            connection.pending_by_id.pop(exchange_id, None)

    async def _connect(self, address: Address) -> _Connection:
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections_by_address.get(address)
            if connection is not None:
                return connection
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    address.ip, address.port
                )
            limit_silence(writer)
            connection = _Connection(writer)
            self._connections_by_address[address] = connection
            connection.task = asyncio.create_task(
                self._read(address, connection, reader)
            )
            return connection

    async def _read(
        self,
        address: Address,
        connection: _Connection,
        reader: asyncio.StreamReader,
    ) -> None:
        frames = FrameReader(reader, self._registry, self._counters)
        try:
            with contextlib.suppress(OSError):
                async for envelope in frames.envelopes():
                    connection.deliver(envelope)
        finally:
            self._connections_by_address.pop(address, None)
            connection.close()


def _abort_if_unresponsive(connection: _Connection, sent_at_s: float) -> None:
    """Abort a connection that received nothing since a request was sent."""
    if connection.last_received_at_s <= sent_at_s:
        connection.writer.transport.abort()


def _unavailable(detail: str) -> BronzesillError:
    return BronzesillError(ResultCode.PEER_UNAVAILABLE, detail)
