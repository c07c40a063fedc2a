"""Network addresses, and silence and ends of connections."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import ipaddress
import reprlib
import select
import socket

__all__ = ['Address', 'has_pending_end', 'limit_silence']

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5
_MAX_IP_CHARS = 64
_CACHE_SIZE = 4096
#: Seconds without a byte after which the other end is probed.
_KEEP_ALIVE_IDLE_S = 10
_KEEP_ALIVE_INTERVAL_S = 5
_KEEP_ALIVE_PROBES = 4
#: While a user timeout is set it also decides when probes give up, whatever
#: their count, so it is the time of all of them.
_USER_TIMEOUT_MS = 1000 * (
    _KEEP_ALIVE_IDLE_S + _KEEP_ALIVE_INTERVAL_S * _KEEP_ALIVE_PROBES
)
_SILENCE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)

#: Data without a request ends an idle connection as well.
_ENDS = select.POLLIN | select.POLLRDHUP


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """
    Address of a listening socket.

    :param ip: IPv4 or IPv6 address as text.
    :param port: port number; 0 lets the system choose a free port.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'

    @classmethod
    def from_text(cls, text: str) -> Address:
        """
        Parse ``ip:port``.

        :raises ValueError: if ``text`` is not an IP address and a port.
        """
        return _parse(text)

    @property
    def url(self) -> str:
        """Base URL for HTTP requests to this address."""
        return f'http://{self}'


@functools.lru_cache(maxsize=_CACHE_SIZE)
def _parse(text: str) -> Address:
    """Parse ``ip:port``; cached because few distinct texts recur often."""
    ip, separator, port = text.rpartition(':')
    if not separator or not _is_port(port):
        raise ValueError(f'expected ip:port, got {reprlib.repr(text)}')
    if len(ip) > _MAX_IP_CHARS:
        raise ValueError('expected an IP address')
    ipaddress.ip_address(ip)
    return Address(ip, int(port))


def limit_silence(
    transport: asyncio.BaseTransport | asyncio.StreamWriter,
) -> None:
    """
    Have the system end a connection whose other end is gone for good.

    A connection that is silent for some seconds stays open: its other end may
    be cut off or halted, and go on.  The same limits hold for all connections
    of this program; libraries set others by themselves.

    :param transport: transport or stream writer of the connection.
    """
    connected = transport.get_extra_info('socket')
    if connected is None:
        return
    for level, option, limit in _SILENCE_OPTIONS:
        # A connection may have ended already.
        with contextlib.suppress(OSError):
            connected.setsockopt(level, option, limit)


def has_pending_end(transport: asyncio.BaseTransport) -> bool:
    """
    Return whether the kernel holds an end, a reset or data of a connection.

    The event loop may be about to read it.  Costs one system call that does
    not block.

    :param transport: transport of a connection without a pending answer.
    :returns: ``False`` also for connections through another host.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), _ENDS)
    return bool(poller.poll(0))


def _is_port(text: str) -> bool:
    if not text.isascii() or not text.isdecimal():
        return False
    return len(text) <= _MAX_PORT_DIGITS and int(text) <= _MAX_PORT
