"""Record of what one daemon knows of its backend servers."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Mapping

from ..config import BackendServer
from .domains import DomainSuspicion
from .records import LoadReport, ServerRecord
from .use import FleetUse, ServerRestart, ServerUse, UseReport
from .views import ServerView

__all__ = ['ServerBook']

_TELL_FAILURE_S = 1.0


class ServerBook:
    """
    Records by server name; each change goes through one method.

    The book does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._servers_by_name: Mapping[str, BackendServer] = {}
        self._records_by_name: dict[str, ServerRecord] = {}
        #: Names of the servers that choices are made among.
        self.known: frozenset[str] = frozenset()
        #: Names of the servers that take no new work.
        self.leaving: frozenset[str] = frozenset()
        #: Servers that started anew and are not listed yet.
        self.restarts: tuple[ServerRestart, ...] = ()
        self._domains = DomainSuspicion()
        self._fleet_use = FleetUse()
        self._started_at_s_by_group: Mapping[str, float] = {}
        #: Told when this daemon's use of engines changed.
        self.on_use_changed: Callable[[], object] = _ignore

    def replace_servers(self, by_name: Mapping[str, BackendServer]) -> None:
        """Take over the servers of a new configuration."""
        self._servers_by_name = by_name
        self._records_by_name = {name: self._record(name) for name in by_name}
        self.known = frozenset(by_name)
        self._started_at_s_by_group = _started_at_s_by_group(by_name)

    def forget(self, name: str) -> None:
        """Drop what is known of a server that started anew."""
        self._records_by_name.pop(name, None)
        self.set_leaving(name, is_leaving=False)

    @property
    def servers_by_name(self) -> Mapping[str, BackendServer]:
        """The servers of the configuration in force."""
        return self._servers_by_name

    def opened(self, name: str) -> None:
        """Count a stream opened on a server."""
        self._change_use(name, self._record(name).opened())

    def occupied(self, name: str, tokens: int) -> None:
        """
        Note memory that is taken or, if negative, given back.

        :param name: name of the server.
        :param tokens: memory of a run or of its copy.
        """
        if tokens:
            self._change_use(name, self._record(name).occupied(tokens))

    def begun(self, name: str) -> None:
        """Note that an answer of a server has begun."""
        self._change_use(name, self._record(name).begun())

    def closed(self, name: str, *, has_begun: bool = False) -> None:
        """
        Count a stream closed on a server.

        :param name: name of the server.
        :param has_begun: whether its answer had begun.
        """
        closed = self._record(name).closed(has_begun=has_begun)
        self._change_use(name, closed)

    def reported(self, name: str, report: LoadReport) -> None:
        """Take in a server's load report."""
        self._change(name, self._record(name).reported(report))

    def suspect(self, name: str, now_s: float) -> None:
        """Avoid a server for a while after it gave no answer here."""
        self._change(name, self._record(name).failed(now_s))
        self._avoid(name, now_s)
        self.on_use_changed()

    def answered(self, name: str, *, is_failure: bool) -> None:
        """Take in an answer of a server, which may be a failure."""
        answered = self._record(name).answered(is_failure=is_failure)
        self._change(name, answered)

    def set_leaving(self, name: str, *, is_leaving: bool) -> None:
        """Take over whether a server takes no new work."""
        self.leaving = self.leaving - {name}
        if is_leaving:
            self.leaving = self.leaving | {name}

    def running(self, name: str) -> int:
        """Return the streams this daemon has open on a server."""
        return self._record(name).running

    def report_use(
        self, daemon: str, sequence: int, now_s: float, valid_s: float
    ) -> UseReport:
        """
        Return what the other daemons are told of this one's engines.

        :param daemon: name of this daemon.
        :param sequence: grows with each report.
        :param now_s: time in seconds.
        :param valid_s: seconds for which the report holds.
        """
        engines = {
            name: record
            for name, record in self._records_by_name.items()
            if self._is_engine(name)
        }
        uses = tuple(
            ServerUse(name, record.running, record.reading, record.tokens)
            for name, record in engines.items()
            if record.is_used
        )
        failed = self.failed_since(now_s - _TELL_FAILURE_S)
        return UseReport(daemon, sequence, uses, failed, self.restarts, valid_s)

    def failed_since(self, since_s: float) -> tuple[str, ...]:
        """Return the servers that gave this daemon no answer of late."""
        return tuple(
            name
            for name, record in self._records_by_name.items()
            if record.failed_at_s > since_s
        )

    def heard_use(self, report: UseReport, now_s: float) -> None:
        """Take in another daemon's use of engines and their failures."""
        known = self._fleet_use
        self._fleet_use = known.after(report, now_s)
        if self._fleet_use is known:
            return
        told = known.failed(report.daemon, now_s)
        for name in report.failed:
            if name not in told:
                self._avoid(name, now_s)

    def views(self, now_s: float) -> tuple[ServerView, ...]:
        """Return what the choice of a server looks at."""
        use_by_server = self._fleet_use.of_servers(now_s)
        return tuple(
            self._view(name, now_s, use_by_server.get(name))
            for name in self._servers_by_name
            if name in self.known
        )

    def service_views(self, service: str, now_s: float) -> list[ServerView]:
        """Return the servers of a plain service."""
        return [
            self._view(name, now_s, None)
            for name, server in self._servers_by_name.items()
            if server.service == service
        ]

    def _record(self, name: str) -> ServerRecord:
        return self._records_by_name.get(name, ServerRecord())

    def _change(self, name: str, record: ServerRecord) -> None:
        if name in self._servers_by_name:
            self._records_by_name[name] = record

    def _change_use(self, name: str, record: ServerRecord) -> None:
        self._change(name, record)
        if self._is_engine(name):
            self.on_use_changed()

    def _avoid(self, name: str, now_s: float) -> None:
        self._change(name, self._record(name).avoided(now_s))
        server = self._servers_by_name.get(name)
        if server is not None:
            self._domains = self._domains.failed(_group(server), name, now_s)

    def _is_engine(self, name: str) -> bool:
        server = self._servers_by_name.get(name)
        return server is not None and bool(server.model)

    def _view(
        self, name: str, now_s: float, others: ServerUse | None
    ) -> ServerView:
        server = self._servers_by_name[name]
        group = _group(server)
        record = self._record(name)
        report = record.report or LoadReport(0, server.version, now_s)
        others = others or ServerUse(name, 0, 0)
        is_suspected = (
            record.suspected_until_s > now_s
            or self._domains.is_suspected(group, now_s)
        )
        return ServerView(
            name=name,
            failure_domain=server.failure_domain,
            model=server.model,
            version=server.version,
            capacity=server.capacity,
            own_running=record.running,
            own_reading=record.reading,
            others_running=others.running,
            others_reading=others.reading,
            tokens=record.tokens + others.tokens,
            memory_tokens=server.memory_tokens,
            domain_started_at_s=self._started_at_s_by_group[group],
            own_since_report=record.since_report,
            reported_running=report.running,
            report_age_s=now_s - report.at_s,
            is_leaving=name in self.leaving,
            is_suspected=is_suspected,
            failure_rate=record.failure_rate,
        )


def _started_at_s_by_group(
    by_name: Mapping[str, BackendServer],
) -> dict[str, float]:
    """Return when half of the servers of each group had started."""
    starts: dict[str, list[float]] = {}
    for server in by_name.values():
        starts.setdefault(_group(server), []).append(server.started_at_s)
    return {group: statistics.median(times) for group, times in starts.items()}


def _ignore() -> None:
    """Do nothing."""


def _group(server: BackendServer) -> str:
    return f'{server.model}/{server.service}/{server.failure_domain}'
