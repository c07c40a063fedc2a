"""Tells the other daemons which engines this one uses, and hears theirs."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

from ..membership import MembershipMailbox
from ..routing import ServerBook, ServerRestart, UseReport
from ..utils import Address
from ..wire import Arrival, DatagramSocket

__all__ = ['ArrivalSorter', 'UseSharing']

_CHANGE_PAUSE_S = 0.03
_MIN_REPEAT_S = 0.7
#: What is added for each peer, so that a large fleet says no more a second.
_REPEAT_S_PER_PEER = 0.03
#: Reports may be lost.
_VALID_REPEATS = 3
_MS_PER_S = 1000


class ArrivalSorter:
    """
    Hands arrivals to membership, or to who asked for their type.

    :param membership: mailbox of membership.
    """

    def __init__(self, membership: MembershipMailbox) -> None:
        self.handlers_by_type: dict[type, Callable[[object], None]] = {}
        self._membership = membership

    def put_nowait(self, arrival: Arrival) -> None:
        """Take in a datagram."""
        handler = self.handlers_by_type.get(type(arrival.message))
        if handler is None:
            self._membership.put_nowait(arrival)
        else:
            handler(arrival.message)


class UseSharing:
    """
    Task that reports this daemon's use of engines.

    :param daemon: name of this daemon.
    :param book: what is known of the backend servers.
    :param socket: datagrams to peers.
    :param list_peers: addresses of the other live daemons.
    """

    def __init__(
        self,
        daemon: str,
        book: ServerBook,
        socket: DatagramSocket,
        list_peers: Callable[[], tuple[Address, ...]],
    ) -> None:
        self._daemon = daemon
        self._book = book
        self._socket = socket
        self._list_peers = list_peers
        # Grows over restarts too.
        self._sequence = int(time.time() * _MS_PER_S)
        self._changed = asyncio.Event()
        self._was_empty = False
        #: Told of servers that started anew; set by the daemon.
        self.on_restart: Callable[[ServerRestart], None] = _ignore
        book.on_use_changed = self._changed.set

    async def run(self) -> None:
        """Report each change soon, and the same again now and then."""
        while True:
            await self._wait_for_change()
            self._changed.clear()
            self._report()
            await asyncio.sleep(_CHANGE_PAUSE_S)

    def hear(self, message: object) -> None:
        """Take in another daemon's report."""
        if isinstance(message, UseReport):
            now_s = asyncio.get_running_loop().time()
            self._book.heard_use(message, now_s)
            for restart in message.restarts:
                self.on_restart(restart)

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._repeat_s()):
                await self._changed.wait()

    def _repeat_s(self) -> float:
        peers = len(self._list_peers())
        return max(_MIN_REPEAT_S, peers * _REPEAT_S_PER_PEER)

    def _report(self) -> None:
        self._sequence += 1
        now_s = asyncio.get_running_loop().time()
        report = self._book.report_use(
            self._daemon,
            self._sequence,
            now_s,
            _VALID_REPEATS * self._repeat_s(),
        )
        if report.is_empty and self._was_empty:
            return
        self._was_empty = report.is_empty
        for address in self._list_peers():
            self._socket.send(address, report)


def _ignore(restart: ServerRestart) -> None:
    """Do nothing."""
