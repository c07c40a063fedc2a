"""Falcon resources for operators."""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol

from falcon import asgi

from ..membership import Member
from ..utils import unstructure
from .operators import authenticate_operator
from .state import GatewayState

__all__ = ['AdminResource', 'DaemonStatus', 'StatusSource']


@dataclasses.dataclass(frozen=True)
class DaemonStatus:
    """
    State of one daemon in a few numbers.

    :param host: name of the host.
    :param revision: configuration revision in force.
    :param rejected_revision: newer revision refused as invalid, 0 for none.
    :param generations: generations running.
    :param waiting: requests waiting for a slot.
    :param is_stopping: whether a planned stop is under way.
    :param adopted_at_s: when the configuration came into force here, in
        seconds since the epoch.
    :param peer_bytes: bytes exchanged with other daemons so far.
    :param peer_datagrams: datagrams exchanged with other daemons so far.
    :param dropped_frames: frames from peers that made no sense.
    """

    host: str
    revision: int
    rejected_revision: int
    generations: int
    waiting: int
    is_stopping: bool
    adopted_at_s: float
    peer_bytes: int
    peer_datagrams: int
    dropped_frames: int


class StatusSource(Protocol):
    """The daemon as operators see it."""

    def status(self) -> DaemonStatus:
        """Return the state of this daemon."""

    def members(self) -> tuple[Member, ...]:
        """Return the fleet as this daemon believes it to be."""

    def set_server_leaving(self, name: str, *, is_leaving: bool) -> None:
        """State that a backend server leaves or is back."""

    def begin_stop(self) -> None:
        """Begin a planned stop."""


class AdminResource:
    """
    ``/admin`` paths of one daemon.

    :param source: the daemon.
    :param state: configuration in force.
    """

    def __init__(self, source: StatusSource, state: GatewayState) -> None:
        self._source = source
        self._state = state

    def add_routes(self, app: asgi.App[Any, Any]) -> None:
        """Add the paths to an application."""
        app.add_route('/admin/status', self, suffix='status')
        app.add_route('/admin/drain', self, suffix='drain')
        app.add_route('/admin/members', self, suffix='members')
        app.add_route(
            '/admin/servers/{name}/leaving', self, suffix='server_leaving'
        )
        app.add_route('/admin/servers/{name}/back', self, suffix='server_back')

    async def on_get_status(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Tell the state of this daemon."""
        response.media = unstructure(self._source.status())

    async def on_post_drain(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Begin a planned stop."""
        authenticate_operator(request, self._state.document)
        self._source.begin_stop()
        response.media = unstructure(self._source.status())

    async def on_get_members(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List the fleet as this daemon believes it to be."""
        response.media = {
            'members': [
                unstructure(member) for member in self._source.members()
            ]
        }

    async def on_post_server_leaving(
        self, request: asgi.Request, response: asgi.Response, name: str
    ) -> None:
        """Give a backend server no new work from now on."""
        authenticate_operator(request, self._state.document)
        self._source.set_server_leaving(name, is_leaving=True)
        response.media = {'server': name, 'leaving': True}

    async def on_post_server_back(
        self, request: asgi.Request, response: asgi.Response, name: str
    ) -> None:
        """Give a backend server work again."""
        authenticate_operator(request, self._state.document)
        self._source.set_server_leaving(name, is_leaving=False)
        response.media = {'server': name, 'leaving': False}
