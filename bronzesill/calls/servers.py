"""Servers of a plain service, in the order in which to try them."""

from __future__ import annotations

import asyncio
from random import Random

from ..routing import ServerBook, TrafficSplit, pick_version
from ..utils import Address, BronzesillError, ResultCode
from .interfaces import RoutedCall

__all__ = ['ServiceServers']


class ServiceServers:
    """
    Order of servers for a call.

    :param book: what is known of the backend servers.
    :param splits_by_service: how each service's traffic is split.
    :param random: generator for the order.
    """

    def __init__(
        self,
        book: ServerBook,
        splits_by_service: dict[str, TrafficSplit],
        random: Random,
    ) -> None:
        self._book = book
        self._splits_by_service = splits_by_service
        self._random = random

    def order(self, routed: RoutedCall) -> tuple[str, ...]:
        """
        Return names of servers, healthy ones first.

        :raises BronzesillError: ``CALL_NOT_RUN``, there is no server.
        """
        service = routed.route.service
        split = self._splits_by_service.get(service)
        version = pick_version(split, routed.request_id) if split else ''
        views = [
            view
            for view in self._book.service_views(service, _now_s())
            if not view.is_leaving and version in {'', view.version}
        ]
        if not views:
            raise BronzesillError(
                ResultCode.CALL_NOT_RUN, 'not run: no server of the service'
            )
        self._random.shuffle(views)
        views.sort(key=lambda view: (view.is_suspected, view.own_running))
        return tuple(view.name for view in views)

    def address(self, name: str) -> Address:
        """Return where a server listens."""
        return self._book.servers_by_name[name].address

    def opened(self, name: str) -> None:
        """Count a call sent to a server."""
        self._book.opened(name)

    def closed(self, name: str, *, is_failed: bool) -> None:
        """Count a call that ended, and avoid the server if it failed."""
        self._book.closed(name)
        if is_failed:
            self._book.suspect(name, _now_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()
