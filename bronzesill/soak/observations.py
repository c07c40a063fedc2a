"""What callers, servers and the platform see during a soak."""

from __future__ import annotations

import dataclasses
import enum
import math

__all__ = ['Answer', 'Observations', 'RequestKind', 'Run', 'Sent', 'Stop']


class RequestKind(enum.Enum):
    """Kind of request, by whether it may run more than once."""

    STREAM = 'stream'
    ORDER = 'order'
    CHECK = 'check'


@dataclasses.dataclass(frozen=True)
class Sent:
    """
    A request as its caller sent it; times are of the monotonic clock.

    :param request_id: id of the request.
    :param kind: kind of request.
    :param host: number of the host that took the connection.
    :param began_at_s: time at which the first byte was sent.
    :param sent_at_s: time at which the last byte was sent.
    :param timeout_s: time in seconds that the route and the caller allow.
    :param is_kept: whether the connection had served a request before.
    :param is_chunked: whether the body was sent in chunks.
    :param route: name of the route.
    :param account: client account of the caller.
    """

    request_id: str
    kind: RequestKind
    host: int
    began_at_s: float
    sent_at_s: float
    timeout_s: float
    is_kept: bool = False
    is_chunked: bool = False
    route: str = ''
    account: str = ''


@dataclasses.dataclass(frozen=True)
class Answer:
    """
    How a request ended for its caller.

    :param ended_at_s: time of the end.
    :param status: status, 0 for none.
    :param is_complete: whether the answer ended as the protocol demands.
    :param has_signature: whether it names the run of a server.
    :param is_prefix: whether the body begins as the server's whole body does.
    :param is_whole: whether the body is the server's whole body.
    """

    ended_at_s: float
    status: int = 0
    is_complete: bool = False
    has_signature: bool = False
    is_prefix: bool = True
    is_whole: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """
    Work of a server on a request.

    :param server: name of the server.
    :param began_at_s: time at which the work began.
    :param ended_at_s: time at which it ended, infinite if it did not.
    """

    server: str
    began_at_s: float
    ended_at_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class Stop:
    """
    A planned stop of one host.

    :param host: number of the host.
    :param signal_at_s: time of SIGTERM.
    :param exit_at_s: time at which the process had ended.
    :param was_killed: whether the platform had to kill it.
    :param was_ready: whether the process had been ready since its start.
    :param held_up_s: time in seconds for which the process could run and
        waited for a processor since the signal.
    """

    host: int
    signal_at_s: float
    exit_at_s: float
    was_killed: bool
    was_ready: bool = True
    held_up_s: float = 0


@dataclasses.dataclass(frozen=True)
class Observations:
    """
    All that was seen.

    :param answers_by_request: requests with their ends.
    :param runs_by_id: runs of each request, by its id.
    :param passed_on: ids of the requests that reached a server.
    :param stops: planned stops.
    :param reloads: host and time of each SIGHUP.
    :param configured_at_s: times at which a configuration was acknowledged.
    :param disruptions: first and last time of each unplanned disruption.
    :param broken_servers: time of the end of each killed server, by its name.
    :param fleet_returns_at_s: times at which all killed hosts were back.
    :param bursts: first and last time of each burst of bulk requests.
    """

    answers_by_request: dict[Sent, Answer]
    runs_by_id: dict[str, tuple[Run, ...]]
    passed_on: frozenset[str] = frozenset()
    stops: tuple[Stop, ...] = ()
    reloads: tuple[tuple[int, float], ...] = ()
    configured_at_s: tuple[float, ...] = ()
    disruptions: tuple[tuple[float, float], ...] = ()
    broken_servers: tuple[tuple[str, float], ...] = ()
    fleet_returns_at_s: tuple[float, ...] = ()
    bursts: tuple[tuple[float, float], ...] = ()
