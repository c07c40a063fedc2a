"""
Server use by all daemons, aggregated from the report of each daemon.

A small fleet sends each report to all daemons.  In a large one that would
grow with the square of the fleet: there a few daemons collect the reports,
and a daemon asks one of them before it chooses a server.  Failures and
restarts of servers are rare and are still sent to all.
"""

import dataclasses
from collections import Counter
from collections.abc import Mapping
from dataclasses import field

from ..utils import Address

__all__ = [
    'FetchUse',
    'FleetUse',
    'ServerPace',
    'ServerRestart',
    'ServerUse',
    'SharedNews',
    'SharingPeers',
    'UseReport',
    'WaitingCount',
    'choose_recipients',
    'news_of',
    'without_heard_restarts',
]

_DEFAULT_VALID_S = 2.0
#: Failures are reported, and known to all, for this long.
_NEWS_S = 1.0
#: Older numbers of waiting requests count as absent.
_WAITING_S = 2.0


@dataclasses.dataclass(frozen=True)
class ServerUse:
    """
    Use of one server by one daemon, or by several daemons in total.

    :param server: name of the server.
    :param running: open requests on the server.
    :param prefilling: those of them whose response has not started.
    :param tokens: maximum memory that these requests and retained copies may
        need, in tokens.
    """

    server: str
    running: int
    prefilling: int
    tokens: int = 0

    def plus(self, other: 'ServerUse | None') -> 'ServerUse':
        """Return the use of the same server by this and another part."""
        if other is None:
            return self
        return ServerUse(
            self.server,
            self.running + other.running,
            self.prefilling + other.prefilling,
            self.tokens + other.tokens,
        )


@dataclasses.dataclass(frozen=True)
class ServerRestart:
    """
    Restart of a server under a new name.

    :param old_name: name of the server before the restart.
    :param new_name: name of the server after the restart.
    """

    old_name: str
    new_name: str


@dataclasses.dataclass(frozen=True)
class ServerPace:
    """
    Pace of one server, by the measurements of one or several daemons.

    :param server: name of the server.
    :param pace_us: microseconds for an event of a stream, or for a plain call.
    :param samples: number of measurements.
    :param age_s: age of the last one in seconds.
    :param kind: route of the plain calls, empty for streams.
    """

    server: str
    pace_us: int
    samples: int
    age_s: int = 0
    kind: str = ''


@dataclasses.dataclass(frozen=True)
class WaitingCount:
    """
    Requests of one service that wait for a server.

    :param service: name of the service.
    :param rank: rank of their priority in the service, as raised by now.
    :param count: number of the requests.
    """

    service: str
    rank: int
    count: int


@dataclasses.dataclass(frozen=True)
class UseReport:
    """
    Message in which a daemon reports its use of all servers.

    :param daemon: name of the reporting daemon.
    :param sequence: sequence number, increasing with each report of a daemon.
    :param uses: use of each server that the daemon uses.
    :param failed: names of servers that recently did not respond to it.
    :param restarts: restarted servers that are not listed yet.
    :param valid_s: seconds until the report expires if no newer one arrives.
    :param paces: paces of servers that were measured recently.
    :param waiting: requests that wait at the daemon, none if not reported.
    """

    daemon: str
    sequence: int
    uses: tuple[ServerUse, ...]
    failed: tuple[str, ...] = ()
    restarts: tuple[ServerRestart, ...] = ()
    valid_s: float = _DEFAULT_VALID_S
    paces: tuple[ServerPace, ...] = ()
    waiting: tuple[WaitingCount, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the report contains nothing but its sender."""
        is_used = bool(self.uses or self.waiting)
        return not (is_used or self.failed or self.restarts or self.paces)


@dataclasses.dataclass(frozen=True)
class SharedNews:
    """
    Failures and restarts of servers.

    :param failed: servers that recently did not respond.
    :param restarts: restarted servers that are not listed yet.
    """

    failed: frozenset[str] = frozenset()
    restarts: frozenset[ServerRestart] = frozenset()

    def without(self, known: 'SharedNews') -> 'SharedNews':
        """Return what another one does not contain."""
        return SharedNews(
            self.failed - known.failed, self.restarts - known.restarts
        )

    def joined(self, other: 'SharedNews') -> 'SharedNews':
        """Return what this one or another one contains."""
        return SharedNews(
            self.failed | other.failed, self.restarts | other.restarts
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is neither a failure nor a restart."""
        return not (self.failed or self.restarts)


def news_of(report: UseReport) -> 'SharedNews':
    """Return the failures and restarts that a report contains."""
    return SharedNews(frozenset(report.failed), frozenset(report.restarts))


@dataclasses.dataclass(frozen=True)
class FetchUse:
    """
    Request for the use of all servers by all daemons but the requester.

    The reply is a :class:`UseReport` in the name of the daemon that answers.

    :param daemon: name of the requesting daemon.
    """

    daemon: str


@dataclasses.dataclass(frozen=True)
class _ReceivedReport:
    report: UseReport
    at_s: float

    def is_valid(self, now_s: float) -> bool:
        return now_s - self.at_s < self.report.valid_s


@dataclasses.dataclass(frozen=True)
class FleetUse:
    """
    Latest use reports of the other daemons.

    :param received_by_daemon: last report of each daemon with its arrival time.
    """

    received_by_daemon: Mapping[str, _ReceivedReport] = field(
        default_factory=dict
    )

    def with_report(self, report: UseReport, now_s: float) -> 'FleetUse':
        """
        Return a copy that includes a report and omits expired reports.

        Returns this instance unchanged if the report is not newer than the
        last report of the same daemon.
        """
        previous = self.received_by_daemon.get(report.daemon)
        if previous is not None and previous.report.sequence >= report.sequence:
            return self
        unexpired = {
            daemon: received
            for daemon, received in self.received_by_daemon.items()
            if received.is_valid(now_s)
        }
        return FleetUse(
            {**unexpired, report.daemon: _ReceivedReport(report, now_s)}
        )

    def reported_failures(self, daemon: str, now_s: float) -> tuple[str, ...]:
        """Return the failed servers in the last valid report of a daemon."""
        received = self.received_by_daemon.get(daemon)
        if received is None or not received.is_valid(now_s):
            return ()
        return received.report.failed

    def recent_news(self, now_s: float) -> SharedNews:
        """Return the failures and restarts of reports of the last second."""
        news = SharedNews()
        for received in self.received_by_daemon.values():
            if now_s - received.at_s < _NEWS_S:
                news = news.joined(news_of(received.report))
        return news

    def waiting(
        self, now_s: float, excluded_daemon: str = ''
    ) -> tuple[WaitingCount, ...]:
        """
        Return the requests that wait at other daemons, by recent reports.

        :param now_s: current time in seconds.
        :param excluded_daemon: daemon that is left out, empty for none.
        """
        totals = Counter[tuple[str, int]]()
        for daemon, received in self.received_by_daemon.items():
            is_recent = now_s - received.at_s < _WAITING_S
            if daemon != excluded_daemon and is_recent:
                for part in received.report.waiting:
                    totals[part.service, part.rank] += part.count
        return tuple(
            WaitingCount(service, rank, count)
            for (service, rank), count in totals.items()
        )

    def is_waiting_told(self, now_s: float) -> bool:
        """Return whether another daemon has reported of late."""
        return any(
            now_s - received.at_s < _WAITING_S
            for received in self.received_by_daemon.values()
        )

    def totals_by_server(
        self, now_s: float, excluded_daemon: str = ''
    ) -> dict[str, ServerUse]:
        """
        Return the total use by the other daemons, by server name.

        :param now_s: current time in seconds.
        :param excluded_daemon: daemon whose use is left out, empty for none.
        """
        totals: dict[str, ServerUse] = {}
        for daemon, received in self.received_by_daemon.items():
            if daemon != excluded_daemon and received.is_valid(now_s):
                for use in received.report.uses:
                    totals[use.server] = use.plus(totals.get(use.server))
        return totals


@dataclasses.dataclass(frozen=True)
class SharingPeers:
    """
    Other daemons, as far as reports of use concern them.

    :param all_peers: addresses of all other live daemons.
    :param collectors: addresses of those that collect reports, without this
        daemon; empty if all daemons receive all reports.
    """

    all_peers: tuple[Address, ...]
    collectors: tuple[Address, ...] = ()


def without_heard_restarts(
    report: UseReport, heard: frozenset[ServerRestart]
) -> UseReport:
    """
    Return a report without the restarts that this daemon was told of.

    All daemons are told of a restart by the one that found it; if each told
    it again, messages would grow with the square of the fleet.

    :param report: report of this daemon.
    :param heard: restarts that other daemons reported.
    """
    found = tuple(
        restart for restart in report.restarts if restart not in heard
    )
    return dataclasses.replace(report, restarts=found)


def choose_recipients(
    report: UseReport, peers: SharingPeers, known: SharedNews
) -> tuple[Address, ...]:
    """
    Return the addresses to which a report is sent.

    :param report: report of this daemon.
    :param peers: the other daemons.
    :param known: failures and restarts that all daemons know: reported by
        others, or sent to all by this daemon before.
    """
    has_news = not news_of(report).without(known).is_empty
    if has_news or not peers.collectors:
        return peers.all_peers
    return peers.collectors
