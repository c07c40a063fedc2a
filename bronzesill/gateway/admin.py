"""Falcon resource for the status and the control of one daemon."""

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
    Status summary of one daemon.

    :param host: name of the host.
    :param revision: configuration revision in force.
    :param rejected_revision: newer revision rejected as invalid, 0 if none.
    :param generations: number of running generations.
    :param waiting: number of requests that wait for a slot.
    :param is_stopping: whether a planned stop is in progress.
    :param adopted_at_s: time at which this daemon adopted the configuration,
        in seconds since the epoch.
    :param peer_bytes: bytes exchanged with other daemons since the start.
    :param peer_datagrams: datagrams exchanged with other daemons since the
        start.
    :param dropped_frames: number of frames from peers that could not be
        decoded.
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
    """Operations of a daemon that are exposed to operators."""

    def status(self) -> DaemonStatus:
        """Return the status of this daemon."""

    def members(self) -> tuple[Member, ...]:
        """Return the members of the fleet in this daemon's membership view."""

    def set_server_leaving(self, name: str, *, is_leaving: bool) -> None:
        """
        Mark a backend server as leaving or as available again.

        :param name: name of the server.
        :param is_leaving: whether the server gets no new work.
        """

    def begin_stop(self) -> None:
        """Begin a planned stop."""


class AdminResource:
    """
    ``/admin`` paths for the status and the control of one daemon.

    :param source: status and operations of the daemon.
    :param state: configuration in force.
    """

    def __init__(self, source: StatusSource, state: GatewayState) -> None:
        self._source = source
        self._state = state

    def add_routes(self, app: asgi.App[Any, Any]) -> None:
        """Add the routes of this resource to an application."""
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
        """Return the status of this daemon."""
        response.media = unstructure(self._source.status())

    async def on_post_drain(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """Begin a planned stop and return the status of this daemon."""
        authenticate_operator(request, self._state.document)
        self._source.begin_stop()
        response.media = unstructure(self._source.status())

    async def on_get_members(
        self, request: asgi.Request, response: asgi.Response
    ) -> None:
        """List the members in this daemon's membership view."""
        response.media = {
            'members': [
                unstructure(member) for member in self._source.members()
            ]
        }

    async def on_post_server_leaving(
        self, request: asgi.Request, response: asgi.Response, name: str
    ) -> None:
        """Stop assigning new work to a backend server."""
        authenticate_operator(request, self._state.document)
        self._source.set_server_leaving(name, is_leaving=True)
        response.media = {'server': name, 'leaving': True}

    async def on_post_server_back(
        self, request: asgi.Request, response: asgi.Response, name: str
    ) -> None:
        """Resume assigning work to a backend server."""
        authenticate_operator(request, self._state.document)
        self._source.set_server_leaving(name, is_leaving=False)
        response.media = {'server': name, 'leaving': False}
