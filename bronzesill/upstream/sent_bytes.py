"""How much of what was written to a connection has arrived."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct

from .completeness import TransmissionState

__all__ = ['SentRequest', 'count_unsent', 'is_reset']

#: ``SIOCOUTQ`` of Linux: bytes of a socket that are not acknowledged.
_UNACKNOWLEDGED = 0x5411
_COUNT = struct.Struct('i')
#: Offset of ``tcpi_last_data_sent`` in ``struct tcp_info``.
_LAST_SENT_OFFSET = 44
_LAST_SENT = struct.Struct('I')
_MS_PER_S = 1000


class SentRequest:
    """
    A request that was written to a connection.

    :param transport: transport of the connection.
    :param size: bytes of the request.
    """

    def __init__(self, transport: asyncio.Transport, size: int) -> None:
        self.size = size
        self._transport = transport
        self._written_at_s = asyncio.get_running_loop().time()

    def observe(self) -> TransmissionState:
        """Return how far the request has come."""
        return TransmissionState(count_unsent(self._transport), self._idle_s())

    def _idle_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return min(now_s - self._written_at_s, _last_sent_s(self._transport))


def count_unsent(transport: asyncio.Transport) -> int:
    """
    Return the number of written bytes that the peer has not acknowledged.

    What the system does not tell is taken as acknowledged.

    :param transport: transport of a connection.
    """
    unsent = 0
    with contextlib.suppress(NotImplementedError):
        unsent = transport.get_write_buffer_size()
    connected = transport.get_extra_info('socket')
    if connected is None:
        return unsent
    # The connection may be closed, or not be a TCP connection.
    with contextlib.suppress(OSError, ValueError):
        count = fcntl.ioctl(
            connected.fileno(), _UNACKNOWLEDGED, bytes(_COUNT.size)
        )
        unsent += int(_COUNT.unpack(count)[0])
    return unsent


def is_reset(transport: asyncio.Transport) -> bool:
    """
    Return whether the peer has reset a connection.

    :param transport: transport of a connection that is not read any more.
    """
    connected = transport.get_extra_info('socket')
    if connected is None:
        return False
    try:
        error = connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except (OSError, ValueError):
        return True
    return bool(error)


def _last_sent_s(transport: asyncio.Transport) -> float:
    """Return the time since data was last sent, infinite if unknown."""
    connected = transport.get_extra_info('socket')
    if connected is None:
        return float('inf')
    with contextlib.suppress(OSError, ValueError, struct.error):
        state = connected.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            _LAST_SENT_OFFSET + _LAST_SENT.size,
        )
        last_sent_ms: int = _LAST_SENT.unpack_from(state, _LAST_SENT_OFFSET)[0]
        return last_sent_ms / _MS_PER_S
    return float('inf')
