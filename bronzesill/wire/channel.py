"""Frames of one connection between daemons, and channels both ways."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeAlias

import msgpack

from ..utils import PartLogger
from .codec import Envelope, InvalidMessage, MessageRegistry
from .counters import WireCounters

__all__ = ['MAX_FRAME_BYTES', 'ChannelHandler', 'FrameReader', 'PeerChannel']

MAX_FRAME_BYTES = 4 * 1024 * 1024
_READ_BYTES = 64 * 1024

_log = PartLogger('wire')


class FrameReader:
    """Reads the frames of one stream in order; counts invalid ones."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        registry: MessageRegistry,
        counters: WireCounters,
    ) -> None:
        self._reader = reader
        self._registry = registry
        self._counters = counters
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    async def envelopes(self) -> AsyncIterator[Envelope]:
        """Yield envelopes until the stream ends or is not valid msgpack."""
        frames = await self._read_frames()
        while frames is not None:
            for frame in frames:
                envelope = self._parse_frame(frame)
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

    def _parse_frame(self, frame: Any) -> Envelope | None:
        try:
            return self._registry.from_frame(frame)
        except InvalidMessage as error:
            self._counters.dropped += 1
            _log.warning('frame dropped: %s', error)
            return None


class PeerChannel:
    """
    One connection of another daemon that carries messages both ways.

    :param frames: frames of the other daemon.
    :param writer: stream to the other daemon.
    :param registry: registered message types.
    :param counters: counters of traffic.
    """

    def __init__(
        self,
        frames: AsyncIterator[Envelope],
        writer: asyncio.StreamWriter,
        registry: MessageRegistry,
        counters: WireCounters,
    ) -> None:
        #: IP address of the other daemon.
        self.ip: str = writer.get_extra_info('peername')[0]
        self._frames = frames
        self._writer = writer
        self._registry = registry
        self._counters = counters

    @property
    def waiting_bytes(self) -> int:
        """Bytes that the other daemon has not received yet."""
        return self._writer.transport.get_write_buffer_size()

    async def receive(self) -> Any | None:
        """Return the next message, ``None`` if the connection has ended."""
        with contextlib.suppress(OSError, StopAsyncIteration):
            return (await anext(self._frames)).message
        return None

    def send(self, message: object) -> None:
        """Send a message."""
        packed = self._registry.encode(message)
        self._counters.bytes_out += len(packed)
        self._writer.write(packed)

    async def drain(self) -> None:
        """
        Wait until the other daemon has received most of what was sent.

        :raises OSError: the connection is lost.
        """
        await self._writer.drain()

    def end(self) -> None:
        """Close the connection after what was sent."""
        self._writer.close()

    async def close(self) -> None:
        """Close the connection and wait until all is sent."""
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()


ChannelHandler: TypeAlias = Callable[[Any, PeerChannel], Awaitable[None]]
