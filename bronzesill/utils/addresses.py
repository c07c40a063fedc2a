"""Network addresses that consist of an IP address and a port."""

from __future__ import annotations

import dataclasses
import functools
import ipaddress
import reprlib

__all__ = ['Address']

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5
_MAX_IP_CHARS = 64
_CACHE_SIZE = 4096


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


def _is_port(text: str) -> bool:
    if not text.isascii() or not text.isdecimal():
        return False
    return len(text) <= _MAX_PORT_DIGITS and int(text) <= _MAX_PORT
