"""Network addresses: an IP number and a port."""

from __future__ import annotations

import dataclasses
import functools
import ipaddress

__all__ = ['Address']

_MAX_PORT = 65535
_CACHED = 4096


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """
    Where a process listens.

    :param ip: IP number as text.
    :param port: port number, 0 for any free one.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'

    @classmethod
    def from_text(cls, text: str) -> Address:
        """
        Parse ``ip:port``.

        :raises ValueError: the text is not an IP number and a port.
        """
        return _parse(text)

    @property
    def url(self) -> str:
        """HTTP base address."""
        return f'http://{self}'


@functools.lru_cache(maxsize=_CACHED)
def _parse(text: str) -> Address:
    """Parse ``ip:port``; the same few texts come in all the time."""
    ip, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(f'expected ip:port, got {text!r}')
    ipaddress.ip_address(ip)
    return Address(ip, int(port))
