"""Record of what one daemon knows of its backend servers."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from ..config import BackendServer
from .choose import ServerView

__all__ = ['LoadReport', 'ServerBook', 'ServerRecord']

_SUSPECT_S = 3.0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """
    Load as a server reported it.

    :param running: streams running on the server.
    :param version: version the server runs.
    :param at_s: when the report was read.
    """

    running: int
    version: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """
    What is known of one server.

    :param running: streams this daemon has open there.
    :param since_report: streams opened there since the last report.
    :param report: last report, none before the first.
    :param suspected_until_s: time until which it is avoided.
    """

    running: int = 0
    since_report: int = 0
    report: LoadReport | None = None
    suspected_until_s: float = 0


class ServerBook:
    """
    Records by server name; each change goes through one method.

    The book does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._servers_by_name: Mapping[str, BackendServer] = {}
        self._records_by_name: dict[str, ServerRecord] = {}
        self._known: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()

    def replace_servers(self, by_name: Mapping[str, BackendServer]) -> None:
        """Take over the servers of a new configuration."""
        self._servers_by_name = by_name
        self._records_by_name = {
            name: self._records_by_name.get(name, ServerRecord())
            for name in by_name
        }
        self._known = frozenset(by_name)

    def forget(self, name: str) -> None:
        """Drop what is known of a server that started anew."""
        self._records_by_name.pop(name, None)
        self.set_leaving(name, is_leaving=False)

    def know_only(self, names: frozenset[str]) -> None:
        """Restrict choices to the subset that this daemon knows well."""
        self._known = names

    @property
    def known(self) -> frozenset[str]:
        """Names of the servers that choices are made among."""
        return self._known

    @property
    def servers_by_name(self) -> Mapping[str, BackendServer]:
        """The servers of the configuration in force."""
        return self._servers_by_name

    def opened(self, name: str) -> None:
        """Count a stream opened on a server."""
        record = self._record(name)
        self._update(
            name,
            running=record.running + 1,
            since_report=record.since_report + 1,
        )

    def closed(self, name: str) -> None:
        """Count a stream closed on a server."""
        record = self._record(name)
        self._update(
            name,
            running=max(record.running - 1, 0),
            since_report=max(record.since_report - 1, 0),
        )

    def reported(self, name: str, report: LoadReport) -> None:
        """Take in a server's load report."""
        self._update(name, report=report, since_report=0)

    def suspect(self, name: str, now_s: float) -> None:
        """Avoid a server for a moment after it failed."""
        self._update(name, suspected_until_s=now_s + _SUSPECT_S)

    def set_leaving(self, name: str, *, is_leaving: bool) -> None:
        """Take over whether a server takes no new work."""
        self._leaving = self._leaving - {name}
        if is_leaving:
            self._leaving = self._leaving | {name}

    def running(self, name: str) -> int:
        """Return the streams this daemon has open on a server."""
        return self._record(name).running

    def views(self, now_s: float) -> tuple[ServerView, ...]:
        """Return what the choice of a server looks at."""
        return tuple(
            self._view(name, server, now_s)
            for name, server in self._servers_by_name.items()
            if name in self._known
        )

    def service_views(self, service: str, now_s: float) -> list[ServerView]:
        """Return the servers of a plain service."""
        return [
            self._view(name, server, now_s)
            for name, server in self._servers_by_name.items()
            if server.service == service
        ]

    def _record(self, name: str) -> ServerRecord:
        return self._records_by_name.get(name, ServerRecord())

    def _update(self, name: str, **changes: object) -> None:
        record = self._records_by_name.get(name, ServerRecord())
        if name in self._servers_by_name:
            self._records_by_name[name] = dataclasses.replace(
                record,
                **changes,  # type: ignore[arg-type]
            )

    def _view(
        self, name: str, server: BackendServer, now_s: float
    ) -> ServerView:
        record = self._record(name)
        report = record.report or LoadReport(0, server.version, now_s)
        return ServerView(
            name=name,
            failure_domain=server.failure_domain,
            model=server.model,
            version=server.version,
            capacity=server.capacity,
            own_running=record.running,
            own_since_report=record.since_report,
            reported_running=report.running,
            report_age_s=now_s - report.at_s,
            is_leaving=name in self._leaving,
            is_suspected=record.suspected_until_s > now_s,
        )
