"""Messages of a relayed connection, and its end at the asking host."""

import asyncio
import dataclasses
import socket
import types
from collections.abc import Callable, Mapping
from typing import Any, cast

import msgpack

from ..upstream import UpstreamConnection
from ..utils import Address
from ..wire import InvalidMessage, MessageRegistry

__all__ = [
    'CUT',
    'MAX_DATA_BYTES',
    'RELAY_TYPES_BY_NUMBER',
    'UNREACHABLE',
    'RelayClient',
    'RelayData',
    'RelayEnd',
    'RelayOpen',
    'RelayOpened',
    'RelayRefused',
]

#: Bytes of a connection that one message carries.
MAX_DATA_BYTES = 64 * 1024
#: Reason of a host that knows that only others reach the server.
CUT = 'cut'
#: Reason of a host that could not connect to the server either.
UNREACHABLE = 'unreachable'
#: Time after which a peer that acknowledges nothing, as one without power,
#: is given up.
_UNACKNOWLEDGED_MS = 1500
_MAX_BUFFERED_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class RelayOpen:
    """
    First message: asks a host to connect to a backend server.

    :param host: name of the asking host.
    :param server: name of the server.
    :param address: address of the server.
    :param timeout_s: seconds until the asking host gives up.
    """

    host: str
    server: str
    address: Address
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class RelayOpened:
    """The server accepted the connection."""


@dataclasses.dataclass(frozen=True)
class RelayRefused:
    """
    The connection was not opened.

    :param reason: why, in a word.
    :param relay: name of a host through which the refusing one reaches
        servers itself, if any.
    """

    reason: str
    relay: str = ''


@dataclasses.dataclass(frozen=True)
class RelayData:
    """
    Bytes of the connection, in either direction.

    :param body: the bytes.
    :param accepted_bytes: bytes that the server's system has taken so far,
        stated in messages from the server; ``None`` if unknown.
    """

    body: bytes
    accepted_bytes: int | None = None


@dataclasses.dataclass(frozen=True)
class RelayEnd:
    """
    The server's end of the connection.

    :param is_clean: whether the server closed it, rather than reset it.
    :param accepted_bytes: bytes that the server's system has taken until
        then, ``None`` if unknown.
    """

    is_clean: bool
    accepted_bytes: int | None = None


RELAY_TYPES_BY_NUMBER: Mapping[int, type] = types.MappingProxyType(
    {
        80: RelayOpen,
        81: RelayOpened,
        82: RelayRefused,
        83: RelayData,
        84: RelayEnd,
    }
)


class RelayClient(asyncio.Protocol):
    """
    Connection to a peer that carries one connection to a backend server.

    It ends as complete only if the peer says that the server closed it.

    :param registry: registered message types.
    :param opening: the connection to ask for.
    """

    def __init__(self, registry: MessageRegistry, opening: RelayOpen) -> None:
        #: Name of a host that a refusing peer uses itself, if any.
        self.told = ''
        #: Result: empty if the server is connected, else the reason.
        self.opened: asyncio.Future[str] = (
            asyncio.get_running_loop().create_future()
        )
        #: The connection to the server.
        self.upstream = UpstreamConnection()
        self.upstream.is_relayed = True
        #: Called if the peer ends without saying how the server ended.
        self.on_lost: Callable[[], None] = _ignore
        self._registry = registry
        self._opening = opening
        self._unpacker = msgpack.Unpacker(max_buffer_size=_MAX_BUFFERED_BYTES)
        self._transport: asyncio.Transport | None = None
        self._relayed: _RelayTransport | None = None
        self._has_ended = False
        self._is_aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask the peer for the connection to the server."""
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
        )
        self._transport.write(self._registry.encode(self._opening))

    def data_received(self, data: bytes) -> None:
        """Process the messages of the peer; an invalid one ends all."""
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                self._process(self._registry.from_frame(frame).message)
        except (ValueError, msgpack.UnpackException, InvalidMessage):
            self.abort()

    def eof_received(self) -> bool:
        """Return ``False``, so that the transport closes itself."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the connection to the server as broken, unless it has ended."""
        self._settle('lost')
        is_lost = not (self._has_ended or self._is_aborted)
        self._end(is_clean=False)
        if is_lost and not self.opened.result():
            self.on_lost()

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    def _process(self, message: Any) -> None:
        if isinstance(message, RelayRefused):
            self.told = message.relay
            self._settle(message.reason or 'refused')
        elif isinstance(message, RelayOpened):
            self._open()
        elif not self._has_ended and self.opened.done():
            self._process_open(message)

    def _process_open(self, message: Any) -> None:
        if isinstance(message, RelayData):
            self._set_accepted(message.accepted_bytes)
            self.upstream.data_received(message.body)
        elif isinstance(message, RelayEnd):
            self._set_accepted(message.accepted_bytes)
            self._end(is_clean=message.is_clean)
            self.abort()

    def _open(self) -> None:
        transport = self._transport
        if transport is None or self.opened.done():
            return
        self._relayed = _RelayTransport(transport, self._registry, self.abort)
        self.upstream.connection_made(self._relayed)
        self._settle('')

    def _set_accepted(self, count: int | None) -> None:
        if self._relayed is not None:
            self._relayed.accepted_bytes = count

    def _settle(self, reason: str) -> None:
        if not self.opened.done():
            self.opened.set_result(reason)

    def _end(self, *, is_clean: bool) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        error = None if is_clean else ConnectionResetError('relay ended')
        if is_clean:
            self.upstream.eof_received()
        self.upstream.connection_lost(error)


class _RelayTransport(asyncio.Transport):
    """
    Sends the bytes of a connection to the peer.

    :param transport: transport to the peer.
    :param registry: registered message types.
    :param on_abort: closes the connection to the peer.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        registry: MessageRegistry,
        on_abort: Callable[[], None],
    ) -> None:
        super().__init__()
        #: Bytes that the server has taken, ``None`` if the peer tells none.
        self.accepted_bytes: int | None = None
        self._written_bytes = 0
        self._on_abort = on_abort
        self._transport = transport
        self._registry = registry

    def write(self, chunk: Any) -> None:
        """Send bytes to the server."""
        self._written_bytes += len(chunk)
        for start in range(0, len(chunk), MAX_DATA_BYTES):
            part = bytes(chunk[start : start + MAX_DATA_BYTES])
            self._transport.write(self._registry.encode(RelayData(part)))

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are not known to have reached the server."""
        if self.accepted_bytes is None:
            return self._transport.get_write_buffer_size()
        return max(self._written_bytes - self.accepted_bytes, 0)

    def is_closing(self) -> bool:
        """Return whether the connection to the peer is closed."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Close the connection after the bytes that wait."""
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, which ends it at the server too."""
        self._on_abort()

    def pause_reading(self) -> None:
        """Stop the peer, and so the server, from sending."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive again."""
        self._transport.resume_reading()


def _ignore() -> None:
    """Ignore a lost connection; the default of ``on_lost``."""
