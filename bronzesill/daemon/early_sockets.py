"""
Sockets that listen before the program has loaded its modules.

Connections of callers wait in the backlog of such a socket instead of being
refused.  This module uses the standard library only.
"""

import socket
import threading
from collections.abc import Iterable

__all__ = ['EarlySockets']

_BACKLOG = 2048


class EarlySockets:
    """Listening sockets by IP address and port, until they are taken."""

    def __init__(self) -> None:
        self._sockets_by_address: dict[tuple[str, int], socket.socket] = {}
        self._lock = threading.Lock()

    def open(self, addresses: Iterable[tuple[str, int]]) -> None:
        """
        Listen on addresses; one that cannot be bound is left out.

        Its later owner binds it again and reports the error.

        :param addresses: IP address and port of each socket.
        """
        for address in addresses:
            listener = open_listener(address)
            if listener is not None:
                self._sockets_by_address[address] = listener

    def close_after(self, limit_s: float) -> None:
        """
        Close the sockets that are not taken within a time.

        Callers that wait in the backlog are disconnected and turn to another
        host; their owners bind the addresses again.

        :param limit_s: seconds from now.
        """
        timer = threading.Timer(limit_s, self.close)
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        """Close all sockets that are not taken."""
        with self._lock:
            for listener in self._sockets_by_address.values():
                listener.close()
            self._sockets_by_address.clear()

    def take(self, ip: str, port: int) -> socket.socket | None:
        """Hand over the socket of an address, ``None`` if there is none."""
        with self._lock:
            return self._sockets_by_address.pop((ip, port), None)


def open_listener(address: tuple[str, int]) -> socket.socket | None:
    """Return a listening socket, ``None`` if it cannot be bound."""
    # asyncio disables Nagle's algorithm only if the protocol is given.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        return None
    listener.setblocking(False)
    return listener
