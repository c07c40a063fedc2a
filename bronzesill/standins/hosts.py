"""Stand-in for the platform's eventually consistent list of hosts."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import Any

import orjson
from falcon import asgi

from ..utils import Address
from .http_standin import HttpStandIn

__all__ = ['HostListStandIn']


@dataclasses.dataclass(frozen=True)
class _Change:
    shows_at_s: float
    hosts: list[dict[str, Any]]


class HostListStandIn(HttpStandIn):
    """
    List of hosts for tests and demonstrations.

    :param address: address to listen on.
    :param lag_s: seconds until readers see a change.
    """

    def __init__(self, address: Address, lag_s: float = 1) -> None:
        super().__init__(address)
        self.lag_s = lag_s
        self._visible_hosts: list[dict[str, Any]] = []
        self._pending: collections.deque[_Change] = collections.deque()

    def replace(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the list; readers see the change after ``lag_s``."""
        now_s = asyncio.get_running_loop().time()
        self._pending.append(_Change(now_s + self.lag_s, hosts))

    async def on_get(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Return the list as of ``lag_s`` ago."""
        now_s = asyncio.get_running_loop().time()
        while self._pending and self._pending[0].shows_at_s <= now_s:
            self._visible_hosts = self._pending.popleft().hosts
        response.media = self._visible_hosts

    async def on_put(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Replace the list by the JSON body and return the lag."""
        self.replace(orjson.loads(await request.stream.read()))
        response.media = {'shown_in_s': self.lag_s}

    def _make_app(self) -> asgi.App[Any, Any]:
        app: asgi.App[Any, Any] = asgi.App()
        app.add_route('/hosts', self)
        return app
