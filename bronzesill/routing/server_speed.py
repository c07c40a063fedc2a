"""Slowdown and relative speed of servers, as far as they tell it."""

from __future__ import annotations

from collections.abc import Mapping

from ..config import BackendServer
from .records import LoadReport

__all__ = ['ServerSpeeds']

#: A slowdown changes several times a second and counts up to this age.
_SLOWDOWN_VALID_S = 0.3


class ServerSpeeds:
    """
    Mutable collection of the speeds of all backend servers.

    Speed counts for a service once any of its servers has told its slowdown.
    Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._servers_by_name: Mapping[str, BackendServer] = {}
        self._reports_by_name: dict[str, LoadReport] = {}
        self._services: frozenset[str] = frozenset()

    def replace_servers(self, by_name: Mapping[str, BackendServer]) -> None:
        """
        Replace the set of servers; what is known of those that remain is kept.

        :param by_name: all servers by name.
        """
        self._servers_by_name = by_name
        for name in self._reports_by_name.keys() - by_name.keys():
            del self._reports_by_name[name]

    def reported(self, name: str, report: LoadReport) -> None:
        """Record a load report, which may tell a slowdown."""
        server = self._servers_by_name.get(name)
        if server is None or report.slowdown is None:
            return
        self._reports_by_name[name] = report
        self._services |= {server.service_name}

    def is_known_for(self, name: str) -> bool:
        """Return whether speed counts for the service of a server."""
        server = self._servers_by_name.get(name)
        return server is not None and server.service_name in self._services

    def slowdown(self, name: str, now_s: float) -> float:
        """
        Return how many times as long as usual work takes on a server now.

        :param name: name of the server.
        :param now_s: current time in seconds.
        :returns: the last slowdown that the server told, 1 if it is too old
            or none was told.
        """
        report = self._reports_by_name.get(name)
        if report is None or report.slowdown is None:
            return 1
        is_valid = now_s - report.at_s < _SLOWDOWN_VALID_S
        return report.slowdown if is_valid else 1

    def relative_speed(self, name: str) -> float:
        """
        Return the speed of a server relative to the median of its service.

        :param name: name of the server.
        :returns: the relative speed, 1 if unknown.
        """
        return 1
