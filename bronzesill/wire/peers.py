"""Questions and answers between daemons over TCP streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any, Protocol

import msgpack

from ..utils import Address, BronzesillError, PartLogger, ResultCode
from .codec import Envelope, MessageRegistry, UnknownMessage
from .counters import WireCounters

__all__ = ['PeerClient', 'PeerHandler', 'PeerServer']

_MAX_FRAME_BYTES = 4 * 1024 * 1024
_READ_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 0.5
_IDLE_CLOSE_S = 60.0

_log = PartLogger('wire')


class PeerHandler(Protocol):
    """Answers the questions of other daemons."""

    async def answer(self, question: Any) -> Any:
        """
        Answer one question.

        :param question: a registered message.
        :returns: a registered message.
        """


class _FrameReader:
    """Envelopes of one stream, in order; bad frames are counted."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        registry: MessageRegistry,
        counters: WireCounters,
    ) -> None:
        self._reader = reader
        self._registry = registry
        self._counters = counters
        self._unpacker = msgpack.Unpacker(max_buffer_size=_MAX_FRAME_BYTES)

    async def envelopes(self) -> AsyncIterator[Envelope]:
        """Yield what arrives until the stream ends or makes no sense."""
        frames = await self._read_frames()
        while frames is not None:
            for frame in frames:
                envelope = self._envelope(frame)
                if envelope is not None:
                    yield envelope
            frames = await self._read_frames()

    async def _read_frames(self) -> list[Any] | None:
        chunk = await self._reader.read(_READ_BYTES)
        if not chunk:
            return None
        self._counters.bytes_in += len(chunk)
        try:
            self._unpacker.feed(chunk)
            return list(self._unpacker)
        except (ValueError, msgpack.UnpackException):
            self._counters.dropped += 1
            return None

    def _envelope(self, frame: Any) -> Envelope | None:
        try:
            return self._registry.from_frame(frame)
        except UnknownMessage as error:
            self._counters.dropped += 1
            _log.warning('frame dropped: %s', error)
            return None


class PeerServer:
    """
    Owner of the socket on which other daemons ask.

    :param address: where it listens.
    :param registry: message types understood.
    :param handler: answers the questions.
    :param counters: counts of bytes and of dropped frames.
    """

    def __init__(
        self,
        address: Address,
        registry: MessageRegistry,
        handler: PeerHandler,
        counters: WireCounters,
    ) -> None:
        self._address = address
        self._registry = registry
        self._handler = handler
        self._counters = counters
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Begin to listen and return the address."""
        self._server = await asyncio.start_server(
            self._accept, self._address.ip, self._address.port
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(self._address.ip, port)

    async def stop(self) -> None:
        """Close the socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frames = _FrameReader(reader, self._registry, self._counters)
        try:
            async with asyncio.TaskGroup() as group:
                async for envelope in frames.envelopes():
                    group.create_task(self._answer(envelope, writer))
        except* OSError:
            self._counters.broken += 1
        finally:
            writer.close()

    async def _answer(
        self, envelope: Envelope, writer: asyncio.StreamWriter
    ) -> None:
        answer = await self._handler.answer(envelope.message)
        packed = self._registry.encode(answer, envelope.exchange_id)
        self._counters.bytes_out += len(packed)
        writer.write(packed)


class _Connection:
    """One open stream to a peer with the questions that wait on it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.waiting_by_id: dict[int, asyncio.Future[Any]] = {}
        self.next_id = 0
        self.used_at_s: float = 0
        self.heard_at_s: float = 0
        self.task: asyncio.Task[None] | None = None

    def deliver(self, envelope: Envelope) -> None:
        """Hand an answer to who waits for it."""
        self.heard_at_s = asyncio.get_running_loop().time()
        waiting = self.waiting_by_id.get(envelope.exchange_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(envelope.message)

    def close(self) -> None:
        """Close the stream and tell all that wait that it is lost."""
        self.writer.close()
        for waiting in self.waiting_by_id.values():
            if not waiting.done():
                waiting.set_exception(_unavailable('connection lost'))
                # Marks it as seen, should nobody wait any more.
                waiting.exception()
        self.waiting_by_id.clear()


class PeerClient:
    """
    Owner of the streams to other daemons, one per peer.

    :param registry: message types understood.
    :param counters: counts of bytes and of dropped frames.
    """

    def __init__(
        self, registry: MessageRegistry, counters: WireCounters
    ) -> None:
        self._registry = registry
        self._counters = counters
        self._connections_by_address: dict[Address, _Connection] = {}
        self._locks_by_address: dict[Address, asyncio.Lock] = {}

    async def ask(
        self, address: Address, question: object, timeout_s: float
    ) -> Any:
        """
        Ask a peer.

        :param address: where the peer listens.
        :param question: a registered message.
        :param timeout_s: seconds to wait for the answer.
        :raises BronzesillError: ``PEER_UNAVAILABLE``.
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(address)
                return await self._exchange(connection, question)
        except (OSError, TimeoutError) as error:
            raise _unavailable(f'{address}: {error!r}') from error

    async def stop(self) -> None:
        """Close all streams."""
        for connection in tuple(self._connections_by_address.values()):
            connection.writer.transport.abort()
            if connection.task is not None:
                connection.task.cancel()

    def close_idle(self, now_s: float) -> None:
        """Close streams that have not been used for a while."""
        for connection in tuple(self._connections_by_address.values()):
            if now_s - connection.used_at_s > _IDLE_CLOSE_S:
                connection.writer.close()

    async def _exchange(self, connection: _Connection, question: object) -> Any:
        connection.next_id += 1
        exchange_id = connection.next_id
        asked_at_s = asyncio.get_running_loop().time()
        connection.used_at_s = asked_at_s
        waiting: asyncio.Future[Any] = asyncio.Future()
        connection.waiting_by_id[exchange_id] = waiting
        packed = self._registry.encode(question, exchange_id)
        self._counters.bytes_out += len(packed)
        connection.writer.write(packed)
        try:
            return await waiting
        except asyncio.CancelledError:
            _drop_if_silent(connection, asked_at_s)
            raise
        finally:
            connection.waiting_by_id.pop(exchange_id, None)

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
        frames = _FrameReader(reader, self._registry, self._counters)
        try:
            with contextlib.suppress(OSError):
                async for envelope in frames.envelopes():
                    connection.deliver(envelope)
        finally:
            self._connections_by_address.pop(address, None)
            connection.close()


def _drop_if_silent(connection: _Connection, asked_at_s: float) -> None:
    """Close a stream on which nothing came since a question."""
    if connection.heard_at_s <= asked_at_s:
        connection.writer.transport.abort()


def _unavailable(detail: str) -> BronzesillError:
    return BronzesillError(ResultCode.PEER_UNAVAILABLE, detail)
