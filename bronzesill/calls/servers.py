"""Servers of a plain service, in the order in which to try them."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Callable
from random import Random

from ..routing import ServerBook, ServerView, TrafficSplit, pick_version
from ..utils import Address, BronzesillError, ResultCode
from .interfaces import RoutedCall
from .pass_through import CallAnswer
from .send_log import log_send

__all__ = ['CallEnd', 'CallSeen', 'ServiceServers']


#: Weight of the share of failures against the fill of a server.
_FAILURE_WEIGHT = 0.6
_SERVER_ERROR = 500
_RETRY_NO_SERVER_S = 0.2


class CallEnd(enum.Enum):
    """How a call to one server ended."""

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
        Tell how a call ended.

        :param outcome: answer or failure, none if nobody waits any more.
        """
        if outcome is None:
            return cls.GIVEN_UP
        if isinstance(outcome, CallAnswer):
            is_failure = outcome.status >= _SERVER_ERROR
            return cls.FAILURE if is_failure else cls.GOOD
        if outcome.code is ResultCode.CALL_NOT_RUN:
            return cls.NOT_RUN
        return cls.LOST


@dataclasses.dataclass(frozen=True)
class CallSeen:
    """
    How a call to one server ended.

    :param service: the service.
    :param route: name of the route that led to it.
    :param server: name of the server.
    :param is_failed: whether it ended badly.
    :param latency_s: seconds that it took.
    """

    service: str
    route: str
    server: str
    is_failed: bool
    latency_s: float


class ServiceServers:
    """
    Order of servers for a call.

    :param book: what is known of the backend servers.
    :param find_split: how a service's traffic is split now.
    :param on_ended: told how each call ended.
    :param random: generator for the order.
    """

    def __init__(
        self,
        book: ServerBook,
        find_split: Callable[[str], TrafficSplit],
        on_ended: Callable[[CallSeen], None],
        random: Random,
    ) -> None:
        self._on_ended = on_ended
        self._book = book
        self._find_split = find_split
        self._random = random

    def order(self, routed: RoutedCall) -> tuple[str, ...]:
        """
        Return names of servers, healthy ones first.

        :raises BronzesillError: ``CALL_NOT_RUN``, there is no server.
        """
        service = routed.route.service
        split = self._find_split(service)
        version = pick_version(split, routed.request_id)
        views = self._views_of(service, version)
        is_trial = bool(version) and version == split.new_version
        if is_trial and routed.route.idempotent:
            # What the version under trial loses is not given to it again.
            old = self._views_of(service, split.old_version)
            views = [*views[:1], *old]
        if not views:
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN,
                'not run: no server of the service',
                retry_after_s=_RETRY_NO_SERVER_S,
            )
        return tuple(view.name for view in views)

    def address(self, name: str) -> Address:
        """
        Return where a server listens.

        :raises BronzesillError: ``CALL_NOT_RUN``, it is gone.
        """
        server = self._book.servers_by_name.get(name)
        if server is None:
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN, f'not run: {name} is gone'
            )
        return server.address

    def note_unreachable(self, name: str) -> None:
        """Avoid a server that takes no connection."""
        self._book.suspect(name, _now_s())

    def opened(self, name: str) -> None:
        """Count a call sent to a server."""
        self._book.opened(name)

    def closed(
        self,
        name: str,
        routed: RoutedCall,
        outcome: CallAnswer | BronzesillError | None,
        started_s: float,
    ) -> None:
        """
        Count a call that ended, and avoid a server that gave no answer.

        :param name: name of the server.
        :param routed: the call.
        :param outcome: answer or failure, none if nobody waits any more.
        :param started_s: when it was sent.
        """
        now_s = _now_s()
        latency_s = now_s - started_s
        end = CallEnd.from_outcome(outcome)
        self._book.closed(name)
        if end is CallEnd.LOST:
            self._book.suspect(name, now_s)
        elif end is not CallEnd.GIVEN_UP:
            is_failure = end is CallEnd.FAILURE
            self._book.answered(name, is_failure=is_failure)
        self._on_ended(
            CallSeen(
                routed.route.service,
                routed.route_name,
                name,
                is_failed=end in {CallEnd.FAILURE, CallEnd.LOST},
                latency_s=latency_s,
            )
        )
        log_send(routed, name, outcome, latency_s)

    def _views_of(self, service: str, version: str) -> list[ServerView]:
        views = [
            view
            for view in self._book.service_views(service, _now_s())
            if not view.is_leaving and version in {'', view.version}
        ]
        self._random.shuffle(views)
        views.sort(key=_cost)
        return views


def _cost(view: ServerView) -> tuple[bool, float]:
    return view.is_suspected, view.fill + _FAILURE_WEIGHT * view.failure_rate


def _now_s() -> float:
    return asyncio.get_running_loop().time()
