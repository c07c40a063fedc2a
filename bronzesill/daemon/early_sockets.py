"""
Sockets that listen before the program has loaded its modules.

Connections of callers wait in the backlog of such a socket instead of being
refused.  This module uses the standard library only.
"""

import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Iterable

__all__ = ['EarlySockets']

_BACKLOG = 2048
_READ_BYTES = 65_536
#: Tells a caller that its request has not run and never will.
_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Retry-After: 0.050\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)


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

    def refuse_waiting(
        self, addresses: Iterable[tuple[str, int]], limit_s: float
    ) -> None:
        """
        Refuse the requests of callers that wait, and listen no longer.

        :param addresses: addresses of sockets that serve HTTP.
        :param limit_s: longest time in seconds that this takes.
        """
        connections: list[socket.socket] = []
        for ip, port in addresses:
            listener = self.take(ip, port)
            if listener is not None:
                connections += _accept_waiting(listener)
        _refuse_all(connections, limit_s)

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


def _accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Return the connections that wait, and close the listening socket."""
    connections: list[socket.socket] = []
    with listener, contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            connection.setblocking(False)
            connections.append(connection)
    return connections


def _refuse_all(connections: list[socket.socket], limit_s: float) -> None:
    """
    Refuse the request on each connection until its caller closes it.

    :param connections: connections that have not been read.
    :param limit_s: longest time in seconds that this takes.
    """
    ends_at_s = time.monotonic() + limit_s
    with selectors.DefaultSelector() as selector:
        for connection in connections:
            selector.register(connection, selectors.EVENT_READ, _Refusal())
        while selector.get_map():
            remaining_s = ends_at_s - time.monotonic()
            if remaining_s <= 0:
                return
            for key, _ in selector.select(remaining_s):
                if key.data.read_from(key.fileobj):
                    selector.unregister(key.fileobj)


class _Refusal:
    """Refuses the request on one connection."""

    def __init__(self) -> None:
        self._is_sent = False

    def read_from(self, connection: socket.socket) -> bool:
        """
        Read what has arrived, and refuse the request if that is not done.

        What is left unread would reset the connection at its end, and with it
        the answer.

        :param connection: connection that can be read.
        :returns: whether the connection is closed now.
        """
        try:
            is_open = bool(connection.recv(_READ_BYTES))
            if is_open and not self._is_sent:
                self._is_sent = True
                connection.sendall(_REFUSAL)
                connection.shutdown(socket.SHUT_WR)
        except OSError:
            is_open = False
        if not is_open:
            connection.close()
        return not is_open
