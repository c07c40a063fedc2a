"""Summaries of what a host knows of the servers of each service."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Iterable, Sequence

from .server_tracker import ServerTracker
from .views import ServerView

__all__ = ['Range', 'ServiceSummary', 'summarize_services']

#: Servers report their load in answers; an older one is not counted.
_REPORT_SHOWN_S = 10.0


@dataclasses.dataclass(frozen=True)
class Range:
    """Lowest, median and highest of some values."""

    lowest: float
    median: float
    highest: float

    @classmethod
    def from_values(cls, values: Iterable[float]) -> Range:
        """
        Return the range of one or more values.

        :param values: the values.
        """
        known = sorted(values)
        return cls(known[0], statistics.median(known), known[-1])


@dataclasses.dataclass(frozen=True)
class ServiceSummary:
    """
    What one host knows of the servers of a service.

    :param service: name of the service or model.
    :param servers: number of listed servers.
    :param slots: number of requests that they run at a time.
    :param running: requests that run, as the servers last reported.
    :param waiting: requests that wait, as the servers last reported.
    :param paused: servers that asked for no requests until a time.
    :param suspected: servers that did not respond of late.
    :param leaving: servers that accept no new work.
    :param speed: relative speeds, none if no server reports its slowdown.
    :param slowdown: slowdowns, none if no server reports its own.
    """

    service: str
    servers: int
    slots: int
    running: int
    waiting: int
    paused: int
    suspected: int
    leaving: int
    speed: Range | None = None
    slowdown: Range | None = None


def summarize_services(
    tracker: ServerTracker, now_s: float
) -> tuple[ServiceSummary, ...]:
    """
    Return a summary for each service, by name.

    :param tracker: state of the backend servers.
    :param now_s: current time in seconds.
    """
    views_by_service: dict[str, list[ServerView]] = {}
    for name, server in tracker.servers_by_name.items():
        views = views_by_service.setdefault(server.service_name, [])
        views.append(tracker.view(name, now_s))
    return tuple(
        _summarize(tracker, service, views_by_service[service], now_s)
        for service in sorted(views_by_service)
    )


def _summarize(
    tracker: ServerTracker,
    service: str,
    views: Sequence[ServerView],
    now_s: float,
) -> ServiceSummary:
    speeds = tracker.speeds
    names = [view.name for view in views]
    reported = [view for view in views if view.report_age_s <= _REPORT_SHOWN_S]
    summary = ServiceSummary(
        service=service,
        servers=len(views),
        slots=sum(view.capacity for view in views),
        running=sum(
            view.reported_running - view.reported_waiting for view in reported
        ),
        waiting=sum(view.reported_waiting for view in reported),
        paused=sum(tracker.limiter.is_paused(name) for name in names),
        suspected=sum(view.is_suspected for view in views),
        leaving=sum(view.is_leaving for view in views),
    )
    if not speeds.is_known_for(names[0]):
        return summary
    return dataclasses.replace(
        summary,
        speed=Range.from_values(map(speeds.relative_speed, names)),
        slowdown=Range.from_values(
            speeds.slowdown(name, now_s) for name in names
        ),
    )
