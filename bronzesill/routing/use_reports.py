"""Server use by all daemons, aggregated from the report of each daemon."""

import dataclasses
from collections.abc import Mapping
from dataclasses import field

__all__ = ['FleetUse', 'ServerRestart', 'ServerUse', 'UseReport']

_DEFAULT_VALID_S = 2.0


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
class UseReport:
    """
    Message in which a daemon reports its use of all servers.

    :param daemon: name of the reporting daemon.
    :param sequence: sequence number, increasing with each report of a daemon.
    :param uses: use of each server that the daemon uses.
    :param failed: names of servers that recently did not respond to it.
    :param restarts: restarted servers that are not listed yet.
    :param valid_s: seconds until the report expires if no newer one arrives.
    """

    daemon: str
    sequence: int
    uses: tuple[ServerUse, ...]
    failed: tuple[str, ...] = ()
    restarts: tuple[ServerRestart, ...] = ()
    valid_s: float = _DEFAULT_VALID_S

    @property
    def is_empty(self) -> bool:
        """Whether the report contains no use, failure or restart."""
        return not (self.uses or self.failed or self.restarts)


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

    def totals_by_server(self, now_s: float) -> dict[str, ServerUse]:
        """Return the total use by all other daemons, by server name."""
        totals: dict[str, ServerUse] = {}
        for received in self.received_by_daemon.values():
            if received.is_valid(now_s):
                for use in received.report.uses:
                    totals[use.server] = _sum(use, totals.get(use.server))
        return totals


def _sum(use: ServerUse, other: ServerUse | None) -> ServerUse:
    if other is None:
        return use
    return ServerUse(
        use.server,
        use.running + other.running,
        use.prefilling + other.prefilling,
        use.tokens + other.tokens,
    )
