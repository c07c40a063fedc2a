"""Exchange of engine usage reports between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import time
from collections.abc import Callable

from ..membership import Member, MembershipQueue
from ..routing import (
    FetchUse,
    ServerRestart,
    ServerTracker,
    SharedNews,
    SharingPeers,
    UseReport,
    choose_recipients,
    news_of,
    without_heard_restarts,
)
from ..utils import Address, BronzesillError
from ..wire import DatagramSocket, PeerClient, ReceivedMessage

__all__ = ['DatagramRouter', 'UsageExchange']

_MIN_CHANGE_INTERVAL_S = 0.03
_REPORT_INTERVAL_S = 0.7
#: Validity of a report in report intervals; some datagrams may be lost.
_VALID_INTERVALS = 3
_MS_PER_S = 1000
#: Time after the start within which the reports of the peers arrive.
_SETTLING_S = 2.0
#: A choice of a server waits no longer for the use of the other daemons.
_FETCH_TIMEOUT_S = 0.06
#: Time for which a collector that did not answer is not asked again.
_COLLECTOR_PAUSE_S = 1.0
#: Name under which the use of all other daemons is kept.
_TOTALS = 'all other daemons'


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
    :param client: client for requests to peers.
    :param list_peers: returns the other live daemons.
    :param list_collectors: returns the daemons that collect the reports of
        all, possibly including this one; empty if all daemons receive them.
    """

    def __init__(
        self,
        daemon: str,
        tracker: ServerTracker,
        socket: DatagramSocket,
        client: PeerClient,
        list_peers: Callable[[], tuple[Member, ...]],
        list_collectors: Callable[[], tuple[Member, ...]],
    ) -> None:
        self._daemon = daemon
        self._tracker = tracker
        self._socket = socket
        self._client = client
        self._list_peers = list_peers
        self._list_collectors = list_collectors
        # Derived from the time, so that numbers also grow across restarts.
        self._sequence = int(time.time() * _MS_PER_S)
        self._changed = asyncio.Event()
        self._was_empty = False
        self._sent_news = SharedNews()
        self._heard_restarts: frozenset[ServerRestart] = frozenset()
        self._paused_until_s_by_collector: dict[Address, float] = {}
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
        self._started_at_s = _now_s()
        while True:
            await self._wait_for_change()
            self._changed.clear()
            self._report()
            await asyncio.sleep(_MIN_CHANGE_INTERVAL_S)

    def is_settled(self) -> bool:
        """Return whether the use of the other daemons is known."""
        return _now_s() - self._started_at_s >= _SETTLING_S

    def handle_report(self, message: object) -> None:
        """Apply a usage report of another daemon."""
        if isinstance(message, UseReport):
            self._tracker.apply_use_report(message, _now_s())
            self._heard_restarts |= frozenset(message.restarts)
            for restart in message.restarts:
                self.on_restart(restart)

    def answer_fetch(self, request: FetchUse) -> UseReport:
        """Return the use by all daemons but the requesting one."""
        return self._tracker.build_totals(
            self._build_report(), request.daemon, _now_s()
        )

    async def refresh(self) -> None:
        """
        Ask a collector for the use of the other daemons, in a large fleet.

        Without an answer in time the last known use remains.
        """
        collector = self._pick_collector()
        if collector is None:
            return
        try:
            reply = await self._client.request(
                collector.peers, FetchUse(self._daemon), _FETCH_TIMEOUT_S
            )
        except BronzesillError:
            self._paused_until_s_by_collector[collector.peers] = (
                _now_s() + _COLLECTOR_PAUSE_S
            )
            return
        if isinstance(reply, UseReport):
            self._sequence += 1
            self.handle_report(
                dataclasses.replace(
                    reply, daemon=_TOTALS, sequence=self._sequence
                )
            )

    def _pick_collector(self) -> Member | None:
        """Return the collector to ask, none if this daemon knows as much."""
        collectors = self._list_collectors()
        own = [member for member in collectors if member.name == self._daemon]
        if own:
            return None
        now_s = _now_s()
        paused = self._paused_until_s_by_collector
        available = [
            member
            for member in collectors
            if paused.get(member.peers, 0) <= now_s
        ]
        return available[0] if available else None

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REPORT_INTERVAL_S):
                await self._changed.wait()

    def _build_report(self) -> UseReport:
        self._sequence += 1
        return self._tracker.build_use_report(
            self._daemon,
            self._sequence,
            _now_s(),
            _VALID_INTERVALS * _REPORT_INTERVAL_S,
        )

    def _report(self) -> None:
        # A restart that is listed by now need not be remembered.
        self._heard_restarts &= frozenset(self._tracker.restarts)
        report = self._build_report()
        peers = self._sharing_peers()
        if peers.collectors:
            report = without_heard_restarts(report, self._heard_restarts)
        if report.is_empty and self._was_empty:
            return
        self._was_empty = report.is_empty
        known = self._sent_news.joined(
            self._tracker.fleet_use.recent_news(_now_s())
        )
        recipients = choose_recipients(report, peers, known)
        self._sent_news = news_of(report)
        for address in recipients:
            self._socket.send(address, report)

    def _sharing_peers(self) -> SharingPeers:
        return SharingPeers(
            tuple(member.peers for member in self._list_peers()),
            tuple(
                member.peers
                for member in self._list_collectors()
                if member.name != self._daemon
            ),
        )


def _ignore(restart: ServerRestart) -> None:
    """Ignore restarts until the daemon has set a handler."""


def _now_s() -> float:
    return asyncio.get_running_loop().time()
