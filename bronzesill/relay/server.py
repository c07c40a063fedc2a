"""Serves relayed connections: the end at the host that reaches the server."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections import Counter
from collections.abc import Callable
from typing import cast

from ..upstream import (
    RESET_WAIT_S,
    ConnectionCounts,
    Dialer,
    Purpose,
    count_unsent,
    is_reset,
    needs_reset_wait,
)
from ..utils import PartLogger
from ..wire import PeerChannel
from .connections import (
    CUT,
    MAX_DATA_BYTES,
    UNREACHABLE,
    RelayData,
    RelayEnd,
    RelayOpen,
    RelayOpened,
    RelayRefused,
)

__all__ = ['RelayBounds', 'RelayServer']

_CONNECT_TIMEOUT_S = 0.25
#: Bytes that may wait for the asking host until the server is paused.
_MAX_WAITING_BYTES = 128 * 1024

#: Silence after which the end of a connection ends no answer: the server has
#: closed an idle one, which the other host must not use any more.
_IDLE_S = 0.5

_log = PartLogger('relay')


@dataclasses.dataclass(frozen=True)
class RelayBounds:
    """
    Bounds of the connections that a host relays.

    :param total: number of connections at once.
    :param per_host: number of connections at once for one asking host.
    :param idle_s: seconds without a byte after which one is closed.
    """

    total: int = 384
    per_host: int = 128
    idle_s: float = 60


class RelayServer:
    """
    Opens direct connections to servers for other hosts of the fleet.

    It never asks a further host.

    :param dialer: opens direct connections.
    :param is_member: returns whether an IP address is that of a live host.
    :param may_connect: returns whether a server is listed under a name and
        address, and is in service.
    :param bounds: bounds of the connections.
    """

    def __init__(
        self,
        dialer: Dialer,
        is_member: Callable[[str], bool],
        may_connect: Callable[[RelayOpen], bool],
        bounds: RelayBounds | None = None,
    ) -> None:
        #: Returns whether this host does not reach a server itself.
        self.is_cut: Callable[[str], bool] = _is_never
        #: Returns a host through which this one reaches servers, if any.
        self.find_relay: Callable[[], str] = _find_none
        #: Connections by outcome: opened, refused.
        self.counts: Counter[str] = Counter()
        #: Called with each outcome.
        self.on_outcome: Callable[[str], object] = _ignore
        #: Receives the attempts to connect to servers.
        self.attempts = ConnectionCounts()
        self._dialer = dialer
        self._is_member = is_member
        self._may_connect = may_connect
        self._bounds = bounds or RelayBounds()
        self._open_by_ip: Counter[str] = Counter()

    async def serve(self, opening: RelayOpen, channel: PeerChannel) -> None:
        """
        Serve one connection of another host until either side ends it.

        :param opening: its first message.
        :param channel: the connection to the other host.
        """
        reason = self._find_refusal(opening, channel.ip)
        if reason:
            await self._refuse(opening, channel, reason)
            return
        self._open_by_ip[channel.ip] += 1
        try:
            await self._connect(opening, channel)
        finally:
            self._open_by_ip[channel.ip] -= 1
            self._open_by_ip += Counter()

    def _find_refusal(self, opening: RelayOpen, ip: str) -> str:
        if not self._is_member(ip):
            return 'stranger'
        if not self._may_connect(opening):
            return 'unlisted'
        if self.is_cut(opening.server):
            return CUT
        is_full = (
            self._open_by_ip[ip] >= self._bounds.per_host
            or self._open_by_ip.total() >= self._bounds.total
        )
        return 'full' if is_full else ''

    async def _refuse(
        self, opening: RelayOpen, channel: PeerChannel, reason: str
    ) -> None:
        self._count('refused')
        _log.event(
            'relay_refused',
            peer=opening.host,
            server=opening.server,
            reason=reason,
        )
        channel.send(RelayRefused(reason, self.find_relay()))
        await channel.close()

    def _count(self, outcome: str) -> None:
        self.counts[outcome] += 1
        self.on_outcome(outcome)

    async def _connect(self, opening: RelayOpen, channel: PeerChannel) -> None:
        self.attempts.add(Purpose.RELAY, opening.server)
        try:
            bridge = await self._dialer.open(
                opening.address, lambda: _Bridge(channel), _CONNECT_TIMEOUT_S
            )
        except OSError:
            await self._refuse(opening, channel, UNREACHABLE)
            return
        self._count('opened')
        _log.event('relay_opened', peer=opening.host, server=opening.server)
        try:
            await self._pass_on(bridge, channel)
        finally:
            bridge.abort()

    async def _pass_on(self, bridge: _Bridge, channel: PeerChannel) -> None:
        """Pass bytes to the server until the other host ends or is silent."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._bounds.idle_s) as limit:
                bridge.on_bytes = lambda: limit.reschedule(
                    loop.time() + self._bounds.idle_s
                )
                message = await channel.receive()
                while isinstance(message, RelayData):
                    bridge.on_bytes()
                    await bridge.write(message.body)
                    message = await channel.receive()


class _Bridge(asyncio.Protocol):
    """
    Connection to a server whose bytes go to another host.

    :param channel: the connection to the other host.
    """

    def __init__(self, channel: PeerChannel) -> None:
        #: Called when bytes pass in either direction.
        self.on_bytes: Callable[[], None] = _do_nothing
        self._channel = channel
        self._transport: asyncio.Transport | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._draining: asyncio.Task[None] | None = None
        self._is_aborted = False
        self._is_reset = False
        self._written_bytes = 0
        self._received_at_s: float = 0
        self._accepted_at_end: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Tell the other host that the server accepted the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._channel.send(RelayOpened())

    def data_received(self, data: bytes) -> None:
        """Pass bytes of the server on."""
        self.on_bytes()
        self._received_at_s = asyncio.get_running_loop().time()
        accepted = self._count_accepted()
        for start in range(0, len(data), MAX_DATA_BYTES):
            part = bytes(data[start : start + MAX_DATA_BYTES])
            self._channel.send(RelayData(part, accepted))
        is_full = self._channel.waiting_bytes > _MAX_WAITING_BYTES
        if is_full and self._draining is None and self._transport:
            self._transport.pause_reading()
            self._draining = asyncio.create_task(self._drain())

    def pause_writing(self) -> None:
        """Stop to pass on bytes to a server that does not read."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Pass on bytes to the server again."""
        self._may_write.set()

    def eof_received(self) -> bool:
        """Return whether to keep the connection open to see a reset."""
        self._accepted_at_end = self._count_accepted()
        loop = asyncio.get_running_loop()
        is_idle = loop.time() - self._received_at_s >= _IDLE_S
        if is_idle or not needs_reset_wait(self._written_bytes):
            return False
        loop.call_later(RESET_WAIT_S, self._end_after_wait)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the other host how the server's connection ended."""
        self._may_write.set()
        if not self._is_aborted:
            is_clean = error is None and not self._is_reset
            self._channel.send(RelayEnd(is_clean, self._accepted_at_end))
            self._channel.end()

    async def write(self, body: bytes) -> None:
        """Send bytes to the server, as fast as it reads them."""
        if self._transport is not None and not self._transport.is_closing():
            self._written_bytes += len(body)
            self._transport.write(body)
            await self._may_write.wait()

    def abort(self) -> None:
        """Close the connection to the server at once."""
        self._is_aborted = True
        if self._draining is not None:
            self._draining.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _count_accepted(self) -> int | None:
        if self._transport is None:
            return None
        return self._written_bytes - count_unsent(self._transport)

    def _end_after_wait(self) -> None:
        transport = self._transport
        if transport is not None and not self._is_aborted:
            self._is_reset = is_reset(transport)
            transport.abort()

    async def _drain(self) -> None:
        with contextlib.suppress(OSError):
            await self._channel.drain()
        self._draining = None
        if self._transport is not None:
            self._transport.resume_reading()


def _ignore(outcome: str) -> None:
    """Ignore an outcome; the default of ``on_outcome``."""


def _is_never(server: str) -> bool:
    """Return ``False``; the default of ``is_cut``."""
    return False


def _find_none() -> str:
    """Return nothing; the default of ``find_relay``."""
    return ''


def _do_nothing() -> None:
    """Do nothing; the default of ``on_bytes``."""
