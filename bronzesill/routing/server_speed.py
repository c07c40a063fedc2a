"""Slowdown and relative speed of servers, as far as they are known."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Mapping

from ..config import BackendServer
from .event_pace import PaceSample
from .expected_time import ServiceRates
from .fleet_paces import FleetPaces, PaceKey
from .former_paces import FormerPaces, Machine
from .records import LoadReport
from .relative_speeds import relative_speeds
from .service_rates import RateSamples
from .use_reports import ServerPace, UseReport

__all__ = ['KnownSpeed', 'ServerSpeeds']

#: A slowdown changes several times a second and counts up to this age.
_SLOWDOWN_VALID_S = 0.3
#: Paces measured this recently are in each report; a datagram may be lost.
_REPORTED_AGE_S = 2.0
#: Number of paces in a report of this daemon, which has to fit a datagram.
_MAX_REPORTED = 16
_MIN_PACE_S = 1e-4
_MAX_PACE_S = 60.0
#: Weight, in samples, of a pace that another daemon reports at most.
_MAX_WEIGHT = 1000
_US_PER_S = 1e6
#: Sender of the pace that a server takes over from its predecessor.
_PREDECESSOR = ''


@dataclasses.dataclass(frozen=True)
class KnownSpeed:
    """
    What is known of the speed of one server.

    :param speed: speed relative to the median of the service, 1 if unknown.
    :param slowdown: how many times as long as usual work takes now, 1 if
        unknown.
    :param samples: number of measurements of its pace by all daemons.
    :param age_s: seconds since the last of them, ``None`` without any.
    """

    speed: float
    slowdown: float
    samples: int = 0
    age_s: float | None = None


class ServerSpeeds:
    """
    Mutable collection of the speeds of all backend servers.

    Speed is used for a service once one of its servers has reported its
    slowdown, and for all services where the configuration gives requests that
    share one different priorities.  Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._servers_by_name: Mapping[str, BackendServer] = {}
        self._reports_by_name: dict[str, LoadReport] = {}
        self._services: frozenset[str] = frozenset()
        #: Whether streaming routes of different priorities share a service.
        self.are_streams_ranked = False
        self._paces = FleetPaces()
        self._former = FormerPaces()
        self._speeds_by_service: dict[str, dict[str, float]] = {}
        self._rates_by_service: dict[str, RateSamples] = {}

    def replace_servers(self, by_name: Mapping[str, BackendServer]) -> None:
        """
        Replace the set of servers; what is known of those that remain is kept.

        A new server begins with the pace of the last one at its address.

        :param by_name: all servers by name.
        """
        self._keep_former_paces(by_name)
        added = by_name.keys() - self._servers_by_name.keys()
        self._servers_by_name = by_name
        for name in self._reports_by_name.keys() - by_name.keys():
            del self._reports_by_name[name]
        self._paces.keep_only(by_name)
        for name in added:
            self._begin_with_former_pace(name)
        self._speeds_by_service.clear()

    def forget(self, name: str) -> None:
        """Forget the load of a server that was restarted; its machine stays."""
        self._reports_by_name.pop(name, None)

    def reported(self, name: str, report: LoadReport) -> None:
        """Record a load report, which may contain a slowdown."""
        server = self._servers_by_name.get(name)
        if server is None or report.slowdown is None:
            return
        self._reports_by_name[name] = report
        self._services |= {server.service_name}

    def measured(
        self, name: str, work_s: float, now_s: float, kind: str = ''
    ) -> None:
        """
        Record how long one unit of work took on a server.

        Has no effect on a server whose service does not use speed.

        :param name: name of the server.
        :param work_s: seconds between events of a stream, or for a plain call.
        :param now_s: current time in seconds.
        :param kind: route of a plain call, as calls of several routes take
            different times; empty for a stream.
        """
        if self.is_known_for(name):
            pace_s = work_s / self.slowdown(name, now_s)
            if _MIN_PACE_S <= pace_s <= _MAX_PACE_S:
                self._paces.add_own(
                    PaceKey(name, kind), PaceSample(pace_s, now_s)
                )
                self._changed(name)

    def answer_began(
        self, name: str, prompt_tokens: int, first_event_s: float, now_s: float
    ) -> None:
        """
        Record the first event of an answer whose prompt was prefilled.

        :param name: name of the server.
        :param prompt_tokens: length of the prompt, 0 if not stated.
        :param first_event_s: seconds from the request to the event.
        :param now_s: current time in seconds.
        """
        server = self._servers_by_name.get(name)
        if server is not None and self.is_known_for(name):
            usual_s = first_event_s / self.slowdown(name, now_s)
            self._samples(server.service_name).add_first_event(
                prompt_tokens, usual_s * self.relative_speed(name)
            )

    def answer_ended(self, name: str, events: int) -> None:
        """Record the number of events of a whole answer."""
        server = self._servers_by_name.get(name)
        if server is not None and self.is_known_for(name):
            self._samples(server.service_name).add_answer(events)

    def received(self, report: UseReport, now_s: float) -> None:
        """Record the paces in a use report of another daemon."""
        for received in report.paces:
            pace_s = received.pace_us / _US_PER_S
            server = self._servers_by_name.get(received.server)
            is_plausible = received.samples > 0 and received.age_s >= 0
            if server is None or not is_plausible:
                continue
            if not _MIN_PACE_S <= pace_s <= _MAX_PACE_S:
                continue
            # Daemons send paces only of services for which they use speed.
            self._services |= {server.service_name}
            weight = min(received.samples, _MAX_WEIGHT)
            sample = PaceSample(pace_s, now_s - received.age_s, weight)
            key = PaceKey(received.server, received.kind)
            self._paces.add_received(key, report.daemon, sample)
            self._changed(received.server)

    def measured_paces(self, now_s: float) -> tuple[ServerPace, ...]:
        """Return the paces that this daemon measured recently."""
        recent = self._paces.own_since(now_s - _REPORTED_AGE_S)
        latest = sorted(recent, key=lambda key: recent[key].at_s, reverse=True)[
            :_MAX_REPORTED
        ]
        return tuple(_to_server_pace(key, recent[key], now_s) for key in latest)

    def known_paces(self, now_s: float) -> tuple[ServerPace, ...]:
        """Return the paces by this and all other daemons."""
        return tuple(
            _to_server_pace(key, pace, now_s)
            for key, pace in self._paces.latest().items()
        )

    def is_known_for(self, name: str) -> bool:
        """Return whether speed is used for the service of a server."""
        server = self._servers_by_name.get(name)
        return server is not None and self._is_used_for(server.service_name)

    def slowdown(self, name: str, now_s: float) -> float:
        """
        Return how many times as long as usual work takes on a server now.

        :param name: name of the server.
        :param now_s: current time in seconds.
        :returns: the last slowdown that the server reported, 1 if it is too
            old or none was reported.
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
        server = self._servers_by_name.get(name)
        if server is None or not self._is_used_for(server.service_name):
            return 1
        service = server.service_name
        speeds = self._speeds_by_service.get(service)
        if speeds is None:
            speeds = relative_speeds(self._known_paces_of(service))
            self._speeds_by_service[service] = speeds
        return speeds.get(name, 1)

    def known(self, name: str, now_s: float) -> KnownSpeed:
        """Return what is known of the speed of a server."""
        speed = self.relative_speed(name)
        slowdown = self.slowdown(name, now_s)
        paces = [
            pace
            for key, pace in self._paces.latest().items()
            if key.server == name
        ]
        return KnownSpeed(
            speed,
            slowdown,
            sum(pace.weight for pace in paces),
            min((now_s - pace.at_s for pace in paces), default=None),
        )

    def known_speeds(self) -> tuple[float, ...]:
        """Return the relative speeds of all servers of known pace."""
        servers = {key.server for key in self._paces.latest()}
        return tuple(self.relative_speed(name) for name in servers)

    def typical_pace_s(self, service: str) -> float | None:
        """Return the median pace of streams, ``None`` if unknown."""
        paces_s = [
            pace.pace_s
            for key, pace in self._known_paces_of(service).items()
            if not key.kind
        ]
        return statistics.median(paces_s) if paces_s else None

    def rates(self, service: str) -> ServiceRates | None:
        """Return the typical rates of a model, ``None`` without speeds."""
        if not self._is_used_for(service):
            return None
        return self._samples(service).rates(self.typical_pace_s(service))

    def _is_used_for(self, service: str) -> bool:
        return self.are_streams_ranked or service in self._services

    def _keep_former_paces(self, by_name: Mapping[str, BackendServer]) -> None:
        for key, pace in self._paces.latest().items():
            server = self._servers_by_name.get(key.server)
            if server is not None and key.server not in by_name:
                self._former.keep(Machine.from_server(server), key.kind, pace)

    def _begin_with_former_pace(self, name: str) -> None:
        machine = Machine.from_server(self._servers_by_name[name])
        for kind, pace in self._former.take(machine).items():
            self._paces.add_received(PaceKey(name, kind), _PREDECESSOR, pace)

    def _samples(self, service: str) -> RateSamples:
        return self._rates_by_service.setdefault(service, RateSamples())

    def _known_paces_of(self, service: str) -> dict[PaceKey, PaceSample]:
        return {
            key: pace
            for key, pace in self._paces.latest().items()
            if self._servers_by_name[key.server].service_name == service
        }

    def _changed(self, name: str) -> None:
        service = self._servers_by_name[name].service_name
        self._speeds_by_service.pop(service, None)


def _to_server_pace(key: PaceKey, pace: PaceSample, now_s: float) -> ServerPace:
    return ServerPace(
        key.server,
        round(pace.pace_s * _US_PER_S),
        pace.weight,
        round(max(now_s - pace.at_s, 0)),
        key.kind,
    )
