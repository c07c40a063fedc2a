"""Bytes of the requests that this host has open at each server."""

from __future__ import annotations

__all__ = ['OpenBytes']

#: Four requests of the largest size that a configuration permits by default.
#: A server holds the requests of all hosts, and crashes if its memory ends.
_MAX_OPEN_BYTES = 4_000_000
#: Smaller requests are bounded by the slots of a server.
_LARGE_BYTES = 64 * 1024


class OpenBytes:
    """
    Bytes of open requests by server.

    :param max_bytes: bound for one server.
    """

    def __init__(self, max_bytes: int = _MAX_OPEN_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes_by_server: dict[str, int] = {}

    def add(self, server: str, size: int) -> None:
        """
        Count a request that is sent to a server.

        :param server: name of the server.
        :param size: bytes of the request.
        """
        if size:
            held = self._bytes_by_server.get(server, 0)
            self._bytes_by_server[server] = held + size

    def remove(self, server: str, size: int) -> None:
        """
        Count a request that has ended no longer.

        :param server: name of the server.
        :param size: bytes of the request.
        """
        left = self._bytes_by_server.pop(server, 0) - size
        if left > 0:
            self._bytes_by_server[server] = left

    def has_room(self, server: str, size: int) -> bool:
        """
        Return whether a server may get another request.

        :param server: name of the server.
        :param size: bytes of the request.
        """
        held = self._bytes_by_server.get(server, 0)
        is_large = size > _LARGE_BYTES
        return not (held and is_large and held + size > self._max_bytes)
