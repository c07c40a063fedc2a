"""Use of backend servers by all daemons, each telling its own."""

import dataclasses
from collections.abc import Mapping
from dataclasses import field

__all__ = ['FleetUse', 'ServerRestart', 'ServerUse', 'UseReport']

_VALID_S = 2.0


@dataclasses.dataclass(frozen=True)
class ServerUse:
    """
    One daemon's use of one server.

    :param server: name of the server.
    :param running: requests that it has open there.
    :param reading: those of them whose answer has not begun.
    :param tokens: memory that these requests and kept copies may need.
    """

    server: str
    running: int
    reading: int
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class ServerRestart:
    """
    A server that started anew under another name.

    :param before: its name before.
    :param name: its name now.
    """

    before: str
    name: str


@dataclasses.dataclass(frozen=True)
class UseReport:
    """
    Message by which a daemon tells its use of all servers.

    :param daemon: name of the daemon.
    :param sequence: grows with each report of this daemon.
    :param uses: servers that it uses.
    :param failed: servers that failed it a moment ago.
    :param restarts: servers that started anew and are not listed yet.
    :param valid_s: seconds for which the report holds without another.
    """

    daemon: str
    sequence: int
    uses: tuple[ServerUse, ...]
    failed: tuple[str, ...] = ()
    restarts: tuple[ServerRestart, ...] = ()
    valid_s: float = _VALID_S

    @property
    def is_empty(self) -> bool:
        """Whether it tells of nothing."""
        return not (self.uses or self.failed or self.restarts)


@dataclasses.dataclass(frozen=True)
class _Heard:
    report: UseReport
    at_s: float

    def holds(self, now_s: float) -> bool:
        return now_s - self.at_s < self.report.valid_s


@dataclasses.dataclass(frozen=True)
class FleetUse:
    """
    What the other daemons told last.

    :param heard_by_daemon: last report of each.
    """

    heard_by_daemon: Mapping[str, _Heard] = field(default_factory=dict)

    def after(self, report: UseReport, now_s: float) -> 'FleetUse':
        """Take in a report, unless a newer one came before."""
        known = self.heard_by_daemon.get(report.daemon)
        if known is not None and known.report.sequence >= report.sequence:
            return self
        fresh = {
            daemon: heard
            for daemon, heard in self.heard_by_daemon.items()
            if heard.holds(now_s)
        }
        return FleetUse({**fresh, report.daemon: _Heard(report, now_s)})

    def failed(self, daemon: str, now_s: float) -> tuple[str, ...]:
        """Return the failures that a daemon told a moment ago."""
        heard = self.heard_by_daemon.get(daemon)
        if heard is None or not heard.holds(now_s):
            return ()
        return heard.report.failed

    def of_servers(self, now_s: float) -> dict[str, ServerUse]:
        """Return the use by all other daemons, by server."""
        totals: dict[str, ServerUse] = {}
        for heard in self.heard_by_daemon.values():
            if heard.holds(now_s):
                for use in heard.report.uses:
                    totals[use.server] = _sum(use, totals.get(use.server))
        return totals


def _sum(use: ServerUse, other: ServerUse | None) -> ServerUse:
    if other is None:
        return use
    return ServerUse(
        use.server,
        use.running + other.running,
        use.reading + other.reading,
        use.tokens + other.tokens,
    )
