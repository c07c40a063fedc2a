"""Load and failure records of all backend servers known to one daemon."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Callable, Mapping

from ..config import BackendServer
from .domains import DomainFailures
from .limiter import NoLimits, RequestLimiter
from .records import LoadReport, ServerRecord
from .request_limits import ServerRoom
from .server_speed import ServerSpeeds
from .use_reports import (
    FleetUse,
    ServerRestart,
    ServerUse,
    UseReport,
    WaitingCount,
    news_of,
)
from .views import ServerView

__all__ = ['ServerTracker']

#: Failures up to this age are included in use reports.
_FAILURE_REPORT_WINDOW_S = 1.0


class ServerTracker:
    """
    Mutable collection of the records of all backend servers.

    Combines the observations of this daemon with the use reports of the other
    daemons.  Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._servers_by_name: Mapping[str, BackendServer] = {}
        self._records_by_name: dict[str, ServerRecord] = {}
        #: Names of the servers that are candidates for selection.
        self.candidates: frozenset[str] = frozenset()
        #: Names of the servers that are draining and accept no new work.
        self.leaving: frozenset[str] = frozenset()
        #: Restarted servers that are not listed yet.
        self.restarts: tuple[ServerRestart, ...] = ()
        #: Speeds of the servers, where they report their slowdown.
        self.speeds = ServerSpeeds()
        self._domains = DomainFailures()
        #: Reports of the other daemons.
        self.fleet_use = FleetUse()
        self._started_at_s_by_group: Mapping[str, float] = {}
        #: Limits of servers; those without a free slot are not in views.
        self.limiter: RequestLimiter = NoLimits()
        #: Returns whether only other daemons reach a server; such a server is
        #: not suspected for what this daemon sees of it.
        self.is_path_cut: Callable[[str], bool] = _is_never
        #: Returns the requests that wait at this daemon.
        self.list_waiting: Callable[[], tuple[WaitingCount, ...]] = _none_wait
        #: Called after a change of this daemon's use of model engines.
        self.on_use_changed: Callable[[], object] = _do_nothing

    def replace_servers(self, by_name: Mapping[str, BackendServer]) -> None:
        """
        Replace the set of servers, for example for a new configuration.

        Records of servers that remain are kept.

        :param by_name: all servers by name.
        """
        self._servers_by_name = by_name
        self._records_by_name = {name: self._record(name) for name in by_name}
        self.candidates = frozenset(by_name)
        self.limiter.keep_only(by_name)
        self.speeds.replace_servers(by_name)
        self._started_at_s_by_group = _started_at_s_by_group(by_name)

    def forget(self, name: str) -> None:
        """Discard the record of a server that has been restarted."""
        self._records_by_name.pop(name, None)
        self.speeds.forget(name)
        self.set_leaving(name, is_leaving=False)

    @property
    def servers_by_name(self) -> Mapping[str, BackendServer]:
        """All servers of the current configuration by name."""
        return self._servers_by_name

    def opened(self, name: str) -> None:
        """Record that this daemon opened a stream on a server."""
        self.limiter.record_request(name)
        self._update_use(name, self._record(name).opened())

    def memory_changed(self, name: str, tokens: int) -> None:
        """
        Record a change of the memory that runs and copies may need.

        :param name: name of the server.
        :param tokens: change in tokens, negative if memory was released.
        """
        if tokens:
            self._update_use(name, self._record(name).memory_changed(tokens))

    def response_started(self, name: str) -> None:
        """Record that the response of a stream on a server started."""
        self._update_use(name, self._record(name).response_started())

    def closed(self, name: str, *, has_response_started: bool = False) -> None:
        """
        Record that this daemon closed a stream on a server.

        :param name: name of the server.
        :param has_response_started: whether the response of the stream had
            started.
        """
        closed = self._record(name).closed(
            has_response_started=has_response_started
        )
        self._update_use(name, closed)

    def reported(self, name: str, report: LoadReport) -> None:
        """Record a load report of a server."""
        self._update_record(name, self._record(name).reported(report))
        self.speeds.reported(name, report)

    def suspect(
        self, name: str, now_s: float, *, is_alone: bool = False
    ) -> None:
        """
        Record that a server did not respond, and suspect it for some time.

        Selection avoids suspected servers if there are others.

        :param name: name of the server.
        :param now_s: current time in seconds.
        :param is_alone: whether it says nothing of the server's failure
            domain, and nothing that the other daemons need to know.
        """
        if self.is_path_cut(name):
            return
        if is_alone:
            avoided = self._record(name).marked_suspected(now_s)
            self._update_record(name, avoided)
            return
        self._update_record(name, self._record(name).failed(now_s))
        self._mark_suspected(name, now_s)
        self.on_use_changed()

    def answered(self, name: str, *, is_failure: bool) -> None:
        """Record a response of a server, which may report a failure."""
        answered = self._record(name).answered(is_failure=is_failure)
        self._update_record(name, answered)

    def set_leaving(self, name: str, *, is_leaving: bool) -> None:
        """Record whether a server is draining and accepts no new work."""
        self.leaving = self.leaving - {name}
        if is_leaving:
            self.leaving = self.leaving | {name}

    def clear_suspicion(self, name: str) -> None:
        """Record that a server accepts connections of this daemon again."""
        self._update_record(name, self._record(name).cleared())

    def build_use_report(
        self, daemon: str, sequence: int, now_s: float, valid_s: float
    ) -> UseReport:
        """
        Return a report of this daemon's use of servers for its peers.

        It contains model engines and the servers of brittle services.

        :param daemon: name of this daemon.
        :param sequence: sequence number, increasing with each report.
        :param now_s: current time in seconds.
        :param valid_s: seconds until the report expires.
        """
        shared = {
            name: record
            for name, record in self._records_by_name.items()
            if _is_shared(self._servers_by_name.get(name), self.limiter)
        }
        uses = tuple(
            ServerUse(name, record.running, record.prefilling, record.tokens)
            for name, record in shared.items()
            if record.is_used
        )
        failed = self.failed_since(now_s - _FAILURE_REPORT_WINDOW_S)
        return UseReport(
            daemon,
            sequence,
            uses,
            failed,
            self.restarts,
            valid_s,
            self.speeds.measured_paces(now_s),
            self.list_waiting(),
        )

    def build_totals(
        self, report: UseReport, requester: str, now_s: float
    ) -> UseReport:
        """
        Return a report extended by what the other daemons reported.

        :param report: report of this daemon.
        :param requester: daemon whose own use is left out.
        :param now_s: current time in seconds.
        """
        totals = self.fleet_use.totals_by_server(now_s, requester)
        for use in report.uses:
            totals[use.server] = use.plus(totals.get(use.server))
        news = news_of(report).joined(self.fleet_use.recent_news(now_s))
        return dataclasses.replace(
            report,
            uses=tuple(totals.values()),
            failed=tuple(sorted(news.failed)),
            restarts=tuple(news.restarts),
            paces=self.speeds.known_paces(now_s),
            waiting=(
                *report.waiting,
                *self.fleet_use.waiting(now_s, requester),
            ),
        )

    def failed_since(self, since_s: float) -> tuple[str, ...]:
        """Return the servers that failed to respond after a given time."""
        return tuple(
            name
            for name, record in self._records_by_name.items()
            if record.failed_at_s > since_s and not self.is_path_cut(name)
        )

    def apply_use_report(self, report: UseReport, now_s: float) -> None:
        """
        Apply a use report of another daemon.

        A failure that the daemon's previous valid report already contained is
        not applied again, so that it does not extend the suspicion.

        :param report: report of the other daemon.
        :param now_s: current time in seconds.
        """
        previous_use = self.fleet_use
        self.fleet_use = previous_use.with_report(report, now_s)
        if self.fleet_use is previous_use:
            return
        self.speeds.received(report, now_s)
        already_reported = previous_use.reported_failures(report.daemon, now_s)
        for name in report.failed:
            if name not in already_reported:
                self._mark_suspected(name, now_s)

    def views(self, now_s: float) -> tuple[ServerView, ...]:
        """Return views of all candidate servers for server selection."""
        use_by_server = self.fleet_use.totals_by_server(now_s)
        return tuple(
            self.view(name, now_s, use_by_server.get(name))
            for name in self._servers_by_name
            if name in self.candidates
            and not self.wait_s(name, now_s, use_by_server)
        )

    def service_views(self, service: str, now_s: float) -> list[ServerView]:
        """Return views of all servers of a plain service."""
        uses: Mapping[str, ServerUse] = {}
        if self.limiter.is_brittle(service):
            uses = self.fleet_use.totals_by_server(now_s)
        return [
            self.view(name, now_s, uses.get(name))
            for name, server in self._servers_by_name.items()
            if server.service == service and not self.wait_s(name, now_s, uses)
        ]

    def view(
        self, name: str, now_s: float, others: ServerUse | None = None
    ) -> ServerView:
        """
        Return the view of one server, whether or not it has room.

        :param name: name of a listed server.
        :param now_s: current time in seconds.
        :param others: its use by the other daemons.
        """
        server = self._servers_by_name[name]
        group = _server_group(server)
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
            own_prefilling=record.prefilling,
            others_running=others.running,
            others_prefilling=others.prefilling,
            tokens=record.tokens + others.tokens,
            memory_tokens=server.memory_tokens,
            domain_started_at_s=self._started_at_s_by_group[group],
            own_opened_since_report=record.opened_since_report,
            reported_running=report.running,
            report_age_s=now_s - report.at_s,
            is_leaving=name in self.leaving,
            is_suspected=is_suspected,
            failure_rate=record.failure_rate,
            speed=self.speeds.relative_speed(name),
            slowdown=self.speeds.slowdown(name, now_s),
            is_speed_used=self.speeds.is_known_for(name),
            reported_waiting=report.waiting,
        )

    def wait_s(
        self,
        name: str,
        now_s: float,
        use_by_server: Mapping[str, ServerUse] | None = None,
    ) -> float:
        """
        Return the seconds until a server may be used, 0 if it may now.

        :param name: name of the server.
        :param now_s: current time in seconds.
        :param use_by_server: use by the other daemons, none to look it up.
        """
        wait_s = self.limiter.wait_s(name)
        server = self._servers_by_name.get(name)
        if server is None or not self.limiter.is_brittle(server.service_name):
            return wait_s
        if use_by_server is None:
            use_by_server = self.fleet_use.totals_by_server(now_s)
        others = use_by_server.get(name)
        used = self._record(name).used(others.running if others else 0, now_s)
        room_wait_s = self.limiter.room_wait_s(
            name, server.service_name, ServerRoom(server.capacity, used)
        )
        return max(wait_s, room_wait_s)

    def _record(self, name: str) -> ServerRecord:
        return self._records_by_name.get(name, ServerRecord())

    def _update_record(self, name: str, record: ServerRecord) -> None:
        if name in self._servers_by_name:
            self._records_by_name[name] = record

    def _update_use(self, name: str, record: ServerRecord) -> None:
        self._update_record(name, record)
        if _is_shared(self._servers_by_name.get(name), self.limiter):
            self.on_use_changed()

    def _mark_suspected(self, name: str, now_s: float) -> None:
        self._update_record(name, self._record(name).marked_suspected(now_s))
        server = self._servers_by_name.get(name)
        if server is not None:
            self._domains = self._domains.with_failure(
                _server_group(server), name, now_s
            )


def _started_at_s_by_group(
    by_name: Mapping[str, BackendServer],
) -> dict[str, float]:
    """Return the median start time of the servers of each group."""
    starts: dict[str, list[float]] = {}
    for server in by_name.values():
        starts.setdefault(_server_group(server), []).append(server.started_at_s)
    return {group: statistics.median(times) for group, times in starts.items()}


def _none_wait() -> tuple[WaitingCount, ...]:
    return ()


def _is_never(name: str) -> bool:
    """Return ``False``; the default of ``is_path_cut``."""
    return False


def _is_shared(server: BackendServer | None, limiter: RequestLimiter) -> bool:
    """Return whether the daemons tell each other their use of a server."""
    if server is None:
        return False
    return bool(server.model) or limiter.is_brittle(server.service_name)


def _do_nothing() -> None:
    """Default for callbacks that are not set."""


def _server_group(server: BackendServer) -> str:
    return f'{server.model}/{server.service}/{server.failure_domain}'
