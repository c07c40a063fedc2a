"""Keeps this daemon within the limits that servers name for the fleet."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection

from ..membership import Member
from ..routing import (
    FleetPosition,
    RejectionLimits,
    RequestLimits,
    ServerRoom,
)
from ..utils import PartLogger

__all__ = ['ServerLimiter']

_log = PartLogger('routing')


class ServerLimiter:
    """
    Limits of servers with a clock and the view of the fleet.

    :param daemon: name of this daemon.
    :param list_peers: returns the other live daemons.
    """

    def __init__(
        self, daemon: str, list_peers: Callable[[], tuple[Member, ...]]
    ) -> None:
        self._limits = RequestLimits()
        self._rejections = RejectionLimits()
        #: Monotonic time in seconds until which a server wants no request.
        self._paused_until_s: dict[str, float] = {}
        self._daemon = daemon
        self._list_peers = list_peers

    def handle_answer(self, server: str, per_s: float | None) -> None:
        """Apply the limit that an answer of a server names, none for none."""
        known = self._limits.by_server.get(server)
        if known is None and per_s is None:
            return
        self._limits = self._limits.named(server, per_s, time.time())
        limit = self._limits.by_server.get(server)
        if known is None or limit is None or limit.per_s != known.per_s:
            _log.event('server_limit', server=server, limit_per_s=per_s)

    def handle_brittle(self, service: str, per_s: float | None) -> None:
        """Apply what an answer of a service says of rejections."""
        known = self._rejections.by_service.get(service)
        if known is None and per_s is None:
            return
        self._rejections = self._rejections.named(service, per_s, time.time())
        named = self._rejections.by_service.get(service)
        if not known or not named or known.rejections_per_s != per_s:
            _log.event(
                'service_brittle', service=service, rejections_per_s=per_s
            )

    def handle_rejection(self, server: str) -> None:
        """Take note that a server rejected a request."""
        if self._rejections.by_service:
            self._rejections = self._rejections.rejected(server, time.time())

    def handle_pause(self, server: str, pause_s: float | None) -> None:
        """Take note that a server wants no request for a time, if it does."""
        if pause_s is None:
            return
        until_s = time.monotonic() + pause_s
        known_s = self._paused_until_s.get(server, 0)
        if until_s <= known_s:
            return
        self._paused_until_s[server] = until_s
        if known_s < time.monotonic():
            _log.event('server_pause', server=server, pause_s=pause_s)

    def record_demand(self, service: str) -> None:
        """Take note of a request for any server of a service."""
        if service in self._rejections.by_service:
            self._rejections = self._rejections.wanted(service, time.time())

    def record_choice(self, server: str) -> None:
        """Take note that a server was chosen for a request."""
        if self._rejections.by_service:
            self._rejections = self._rejections.sent(server, time.time())

    def record_request(self, server: str) -> None:
        """Count a request to a server."""
        self.record_choice(server)
        if server in self._limits.by_server:
            self._limits = self._limits.sent(
                server, self._position(), time.time()
            )

    def wait_s(self, server: str) -> float:
        """Return the seconds until a server may be used, 0 if it may now."""
        pause_s = self._paused_until_s.get(server, 0) - time.monotonic()
        if server not in self._limits.by_server:
            return max(pause_s, 0)
        limit_s = self._limits.wait_s(server, self._position(), time.time())
        return max(pause_s, limit_s)

    def is_paused(self, server: str) -> bool:
        """Return whether a server asked for no requests until a time."""
        return self._paused_until_s.get(server, 0) > time.monotonic()

    def is_brittle(self, service: str) -> bool:
        """Return whether the servers of a service say that they are brittle."""
        return service in self._rejections.by_service

    def room_wait_s(self, server: str, service: str, room: ServerRoom) -> float:
        """
        Return the seconds until a brittle server may be used, 0 if it may now.

        :param server: name of the server.
        :param service: name of its service.
        :param room: room of the server.
        """
        return self._rejections.wait_s(
            server, service, room, self._position(), time.time()
        )

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget the limits of servers that are not listed any more."""
        for paused in self._paused_until_s.keys() - set(servers):
            del self._paused_until_s[paused]
        self._rejections = self._rejections.listed(servers, time.time())
        for server in self._limits.by_server.keys() - set(servers):
            self._limits = self._limits.without(server)

    def _position(self) -> FleetPosition:
        names = sorted(
            {self._daemon, *(member.name for member in self._list_peers())}
        )
        return FleetPosition(names.index(self._daemon), len(names))
