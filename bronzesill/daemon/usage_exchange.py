"""Exchange of engine usage reports between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections.abc import Callable

from ..membership import MembershipQueue
from ..routing import ServerRestart, ServerTracker, UseReport
from ..utils import Address
from ..wire import DatagramSocket, ReceivedMessage

__all__ = ['DatagramRouter', 'UsageExchange']

_MIN_CHANGE_INTERVAL_S = 0.03
_MIN_REPORT_INTERVAL_S = 0.7
#: The interval grows with the number of peers, so that the regular reports a
#: daemon sends per second stay bounded in a large fleet.
_INTERVAL_PER_PEER_S = 0.03
#: Validity of a report in report intervals; some datagrams may be lost.
_VALID_INTERVALS = 3
_MS_PER_S = 1000
#: Time after the start within which the reports of the peers arrive.
_SETTLING_S = 2.0


class DatagramRouter:
    """
    Passes datagrams to the handler of their message type.

    Messages without a handler go to the membership protocol.

    :param membership: queue of the membership protocol.
    """

    def __init__(self, membership: MembershipQueue) -> None:
        self.handlers_by_type: dict[type, Callable[[object], None]] = {}
        self._membership = membership

    def put_nowait(self, received: ReceivedMessage) -> None:
        """Pass on a received datagram."""
        handler = self.handlers_by_type.get(type(received.message))
        if handler is None:
            self._membership.put_nowait(received)
        else:
            handler(received.message)


class UsageExchange:
    """
    Task that reports this daemon's engine usage to its peers.

    :param daemon: name of this daemon.
    :param tracker: state of the backend servers.
    :param socket: socket for datagrams to peers.
    :param list_peers: returns the addresses of the other live daemons.
    """

    def __init__(
        self,
        daemon: str,
        tracker: ServerTracker,
        socket: DatagramSocket,
        list_peers: Callable[[], tuple[Address, ...]],
    ) -> None:
        self._daemon = daemon
        self._tracker = tracker
        self._socket = socket
        self._list_peers = list_peers
        # Derived from the time, so that numbers also grow across restarts.
        self._sequence = int(time.time() * _MS_PER_S)
        self._changed = asyncio.Event()
        self._was_empty = False
        self._started_at_s = math.inf
        #: Called with each reported server restart; set by the daemon.
        self.on_restart: Callable[[ServerRestart], None] = _ignore
        tracker.on_use_changed = self._changed.set

    async def run(self) -> None:
        """
        Report usage on each change and at regular intervals.

        Changes within ``_MIN_CHANGE_INTERVAL_S`` seconds share a report.  An
        empty report is sent once and not repeated.
        """
        self._started_at_s = asyncio.get_running_loop().time()
        while True:
            await self._wait_for_change()
            self._changed.clear()
            self._report()
            await asyncio.sleep(_MIN_CHANGE_INTERVAL_S)

    def is_settled(self) -> bool:
        """Return whether the use of the other daemons is known."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._started_at_s >= _SETTLING_S

    def handle_report(self, message: object) -> None:
        """Apply a usage report of another daemon."""
        if isinstance(message, UseReport):
            now_s = asyncio.get_running_loop().time()
            self._tracker.apply_use_report(message, now_s)
            for restart in message.restarts:
                self.on_restart(restart)

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._report_interval_s()):
                await self._changed.wait()

    def _report_interval_s(self) -> float:
        peers = len(self._list_peers())
        return max(_MIN_REPORT_INTERVAL_S, peers * _INTERVAL_PER_PEER_S)

    def _report(self) -> None:
        self._sequence += 1
        now_s = asyncio.get_running_loop().time()
        report = self._tracker.build_use_report(
            self._daemon,
            self._sequence,
            now_s,
            _VALID_INTERVALS * self._report_interval_s(),
        )
        if report.is_empty and self._was_empty:
            return
        self._was_empty = report.is_empty
        for address in self._list_peers():
            self._socket.send(address, report)


def _ignore(restart: ServerRestart) -> None:
    """Ignore restarts until the daemon has set a handler."""
