"""Selection and ordering of the servers of a plain service."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Awaitable, Callable
from random import Random

from ..routing import ServerTracker, ServerView, TrafficSplit, pick_version
from ..upstream import (
    AnswerUnread,
    ConnectionLost,
    ForwardRequest,
    RequestNotSent,
)
from ..utils import Address, BronzesillError, PartLogger, ResultCode
from .connection_order import prefer_connected
from .held_calls import (
    MIN_AVAILABLE,
    CallQuarantine,
    NoQuarantine,
    choose_held,
    refuse_blocked,
)
from .interfaces import CallAnswer, RoutedCall

__all__ = [
    'RETRY_AFTER_S',
    'CallEnd',
    'CallResult',
    'ServiceServers',
    'is_disconnected',
    'is_unsent',
]

#: Weight of a server's failure rate relative to its utilization.
_FAILURE_WEIGHT = 0.6
_CLIENT_ERROR = 400
_SERVER_ERROR = 500
#: Bounds of the ratio of times, so that a wrong speed does little harm.
_MIN_RATIO = 0.5
_MAX_RATIO = 3
#: Time in seconds after which a call that was not run may be sent again.
RETRY_AFTER_S = 0.2
#: Servers lost under a call from which on it does not risk the last one.
_MANY_LOSSES = 2

_log = PartLogger('calls')


class CallEnd(enum.Enum):
    """Classification of the outcome of one attempt to call a server."""

    GOOD = 'good'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    LOST = 'lost'
    GIVEN_UP = 'given_up'

    @classmethod
    def from_outcome(
        cls, outcome: CallAnswer | BronzesillError | None
    ) -> CallEnd:
        """
        Classify the outcome of an attempt.

        :param outcome: response or error, none if the attempt was cancelled.
        """
        if outcome is None:
            return cls.GIVEN_UP
        if isinstance(outcome, CallAnswer):
            is_failure = outcome.status >= _SERVER_ERROR
            return cls.FAILURE if is_failure else cls.GOOD
        if outcome.code is ResultCode.CALL_NOT_RUN:
            return cls.NOT_RUN
        if isinstance(outcome.__cause__, AnswerUnread):
            return cls.GIVEN_UP
        return cls.LOST


@dataclasses.dataclass(frozen=True)
class CallResult:
    """
    Result of one attempt to call a server.

    :param service: name of the service.
    :param route: name of the route of the call.
    :param server: name of the server.
    :param is_failed: whether the server returned an error or the outcome is
        unknown.
    :param latency_s: duration of the attempt in seconds.
    :param forward: the forwarded request, none if the call was built here.
    :param is_answered: whether the server answered that it ran the call.
    :param is_disconnected: whether the connection ended before the answer.
    """

    service: str
    route: str
    server: str
    is_failed: bool
    latency_s: float
    forward: ForwardRequest | None = None
    is_answered: bool = False
    is_disconnected: bool = False


class ServiceServers:
    """
    Selects the servers for a call and records the results.

    :param tracker: state of the backend servers as known to this daemon.
    :param find_split: returns the current traffic split of a service.
    :param on_call_end: called with the result of each attempt.
    :param random: random generator that orders servers of equal cost.
    :param quarantine: tells which requests crash servers.
    """

    def __init__(
        self,
        tracker: ServerTracker,
        find_split: Callable[[str], TrafficSplit],
        on_call_end: Callable[[CallResult], None],
        random: Random,
        quarantine: CallQuarantine | None = None,
    ) -> None:
        self._quarantine = quarantine or NoQuarantine()
        self._on_call_end = on_call_end
        self._tracker = tracker
        self._find_split = find_split
        self._random = random
        #: Brings the use of servers by the other daemons up to date.
        self.refresh_usage: Callable[[], Awaitable[None]] = _do_nothing
        #: Returns whether an idle connection to a server may be used for a
        #: call.
        self.has_connection: Callable[[str, RoutedCall], bool] = _has_none
        #: Name of this host, by which hosts spread over equal servers.
        self.host = ''
        #: Returns whether a server may get a request of a size in bytes.
        self.has_room: Callable[[str, int], bool] = _has_always_room

    async def prepare(self, routed: RoutedCall) -> None:
        """Learn the use of the servers of a call by all daemons, if needed."""
        service = routed.route.service
        if self._tracker.limiter.is_brittle(service):
            self._tracker.limiter.record_demand(service)
            await self.refresh_usage()

    def order(self, routed: RoutedCall) -> tuple[str, ...]:
        """
        Return the names of the servers to try, healthy ones first.

        A call that may crash servers gets one of them, and never the last one
        of its service.

        :raises BronzesillError: ``CALL_NOT_RUN`` if no server is available,
            ``REQUEST_BLOCKED`` if the call crashes servers, or may.
        """
        service = routed.route.service
        split = self._find_split(service)
        if routed.forward is not None:
            refuse_blocked(self._quarantine, routed.forward)
            if self._quarantine.is_held(routed.forward):
                # A version under trial has few servers.
                available = self._find_available(service, split.old_version)
                identity = self._quarantine.identity(routed.forward)
                return (choose_held(identity, available),)
        version = pick_version(split, routed.request_id)
        views = self._arrange(routed, self._find_views(service, version))
        is_new_version = bool(version) and version == split.new_version
        if is_new_version and routed.route.idempotent:
            # Try the new version once only; retries go to the old version.
            old_views = self._arrange(
                routed, self._find_views(service, split.old_version)
            )
            views = [*views[:1], *old_views]
        if not views:
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN,
                'not run: no server available for the service',
                retry_after_s=max(self._limit_wait_s(service), RETRY_AFTER_S),
            )
        return self._skip_full(routed, tuple(view.name for view in views))

    def may_retry(self, routed: RoutedCall, losses: int) -> bool:
        """
        Return whether a call may be sent to another server.

        :param routed: the call.
        :param losses: servers to which the connection was lost under it.
        """
        if routed.forward is None:
            return True
        if self._quarantine.blocked_s(routed.forward):
            return False
        if losses < _MANY_LOSSES and not self._quarantine.is_held(
            routed.forward
        ):
            return True
        split = self._find_split(routed.route.service)
        available = self._find_available(
            routed.route.service, split.old_version
        )
        return len(available) > MIN_AVAILABLE

    def address(self, name: str) -> Address:
        """
        Return the address on which a server listens.

        :raises BronzesillError: ``CALL_NOT_RUN`` if the server has been
            removed.
        """
        server = self._tracker.servers_by_name.get(name)
        if server is None:
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN,
                f'not run: {name} has been removed',
            )
        return server.address

    def expected_ratio(self, name: str) -> float:
        """Return how many times as long as typical a call takes on a server."""
        speeds = self._tracker.speeds
        ratio = speeds.slowdown(name, _now_s()) / speeds.relative_speed(name)
        return min(max(ratio, _MIN_RATIO), _MAX_RATIO)

    def note_unreachable(self, name: str) -> None:
        """Mark a server as suspect because it accepted no connection."""
        self._tracker.suspect(name, _now_s())

    def call_started(self, name: str) -> None:
        """
        Count an attempt that is about to be sent to a server.

        :raises BronzesillError: ``CALL_NOT_RUN`` if the server has begun to
            leave or reached its limit since it was selected.
        """
        is_leaving = name in self._tracker.leaving
        if is_leaving or self._tracker.wait_s(name, _now_s()):
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN,
                f'not run: {name} leaves or has reached its limit',
                retry_after_s=RETRY_AFTER_S,
            )
        self._tracker.opened(name)

    def call_ended(
        self,
        name: str,
        routed: RoutedCall,
        outcome: CallAnswer | BronzesillError | None,
        started_s: float,
    ) -> None:
        """
        Count an attempt that ended and record its result.

        A server is marked as suspect if the outcome is unknown.

        :param name: name of the server.
        :param routed: the call.
        :param outcome: response or error, none if the attempt was cancelled.
        :param started_s: loop time in seconds at which it was started.
        """
        now_s = _now_s()
        latency_s = now_s - started_s
        end = CallEnd.from_outcome(outcome)
        self._tracker.closed(name)
        if end is CallEnd.LOST and self._tracker.is_path_cut(name):
            end = CallEnd.GIVEN_UP
        if end is CallEnd.LOST:
            self._tracker.suspect(name, now_s)
        elif end is not CallEnd.GIVEN_UP:
            if _has_done_work(outcome):
                self._tracker.speeds.measured(
                    name, latency_s, now_s, routed.route_name
                )
            is_failure = end is CallEnd.FAILURE
            self._tracker.answered(name, is_failure=is_failure)
        self._on_call_end(
            CallResult(
                routed.route.service,
                routed.route_name,
                name,
                is_failed=end in {CallEnd.FAILURE, CallEnd.LOST},
                latency_s=latency_s,
                forward=routed.forward,
                is_answered=end in {CallEnd.GOOD, CallEnd.FAILURE},
                is_disconnected=is_disconnected(outcome),
            )
        )
        _log_send(routed, name, outcome, latency_s)

    def _skip_full(
        self, routed: RoutedCall, names: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Leave out servers that hold enough of us, while others do not."""
        size = len(routed.call.body)
        roomy = tuple(name for name in names if self.has_room(name, size))
        if roomy and len(roomy) < len(names):
            _log.event(
                'full_servers_skipped',
                request=routed.request_id,
                bytes=size,
                servers=','.join(sorted(set(names) - set(roomy))),
            )
        return roomy or names

    def _find_available(self, service: str, version: str) -> tuple[str, ...]:
        views = self._find_views(service, version)
        return tuple(view.name for view in views if not view.is_suspected)

    def _limit_wait_s(self, service: str) -> float:
        now_s = _now_s()
        waits_s = (
            self._tracker.wait_s(name, now_s)
            for name, server in self._tracker.servers_by_name.items()
            if server.service == service
        )
        return min(waits_s, default=0)

    def _find_views(self, service: str, version: str) -> list[ServerView]:
        views = [
            view
            for view in self._tracker.service_views(service, _now_s())
            if not view.is_leaving and version in {'', view.version}
        ]
        self._random.shuffle(views)
        if self._tracker.limiter.is_brittle(service):
            # All daemons would meet at the server with the lowest cost.
            views.sort(key=lambda view: view.is_suspected)
        else:
            views.sort(key=_cost)
        return views

    def _arrange(
        self, routed: RoutedCall, views: list[ServerView]
    ) -> list[ServerView]:
        """Keep to servers with an open connection, where speed is known."""
        if self._tracker.limiter.is_brittle(routed.route.service):
            return views
        if not any(
            self._tracker.speeds.is_known_for(view.name) for view in views
        ):
            return views
        connected = [
            view.name
            for view in views
            if self.has_connection(view.name, routed)
        ]
        return prefer_connected(
            views, lambda view: _cost(view)[1], self.host, connected
        )


async def _do_nothing() -> None:
    """Leave the use as it is known."""


def _has_none(name: str, routed: RoutedCall) -> bool:
    """Return ``False``; the default of ``has_connection``."""
    return False


def _cost(view: ServerView) -> tuple[bool, float]:
    """
    Return what servers are ordered by, in requests per slot.

    Where speed is used, it is the expected time of a call in typical times of
    one, less 1; it equals the requests per slot at typical speed.
    """
    load = _expected_load(view) if view.is_speed_used else view.fill
    return view.is_suspected, load + _FAILURE_WEIGHT * view.failure_rate


def _expected_load(view: ServerView) -> float:
    call_time = view.slowdown / view.speed
    return call_time * (1 + view.running / view.capacity) - 1


def _has_done_work(outcome: CallAnswer | BronzesillError | None) -> bool:
    """Return whether a server did its work; a refusal takes no time."""
    return isinstance(outcome, CallAnswer) and outcome.status < _CLIENT_ERROR


def is_disconnected(outcome: CallAnswer | BronzesillError | None) -> bool:
    """Return whether the connection ended before the answer to an attempt."""
    if not isinstance(outcome, BronzesillError):
        return False
    return isinstance(outcome.__cause__, ConnectionLost)


def is_unsent(outcome: CallAnswer | BronzesillError | None) -> bool:
    """Return whether nothing was sent to the server of an attempt."""
    if not isinstance(outcome, BronzesillError):
        return False
    return isinstance(outcome.__cause__, RequestNotSent)


def _log_send(
    routed: RoutedCall,
    server: str,
    outcome: CallAnswer | BronzesillError | None,
    latency_s: float,
) -> None:
    """
    Log an attempt to send a call, with its outcome.

    :param routed: the call.
    :param server: name of the server that the call was sent to.
    :param outcome: response or error, none if the attempt was cancelled.
    :param latency_s: duration of the attempt in seconds.
    """
    status = 0
    detail = 'given up'
    if isinstance(outcome, CallAnswer):
        status = outcome.status
        detail = ''
    elif outcome is not None:
        detail = outcome.message
    _log.event(
        'call_sent',
        request=routed.request_id,
        route=routed.route_name,
        server=server,
        status=status,
        detail=detail,
        latency_s=round(latency_s, 4),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _has_always_room(server: str, size: int) -> bool:
    """Return ``True``; the default of ``has_room``."""
    return True
