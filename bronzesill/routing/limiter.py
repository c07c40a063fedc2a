"""Limits that servers name for the requests that they get."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from .request_limits import ServerRoom

__all__ = ['NoLimits', 'RequestLimiter']


class RequestLimiter(Protocol):
    """Limits that servers name for the requests of all daemons."""

    def record_request(self, server: str) -> None:
        """Count a request to a server."""

    def record_demand(self, service: str) -> None:
        """Take note of a request for any server of a service."""

    def record_choice(self, server: str) -> None:
        """Take note that a server was chosen for a request."""

    def wait_s(self, server: str) -> float:
        """Return the seconds until a server may be used, 0 if it may now."""

    def is_paused(self, server: str) -> bool:
        """Return whether a server asked for no requests until a time."""

    def is_brittle(self, service: str) -> bool:
        """Return whether the servers of a service must not reject much."""

    def room_wait_s(self, server: str, service: str, room: ServerRoom) -> float:
        """Return the same for a server that must not reject much."""

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget the limits of all other servers."""


class NoLimits:
    """Limiter of servers that name no limits."""

    def record_request(self, server: str) -> None:
        """Do nothing."""

    def record_demand(self, service: str) -> None:
        """Do nothing."""

    def record_choice(self, server: str) -> None:
        """Do nothing."""

    def wait_s(self, server: str) -> float:
        """Return 0."""
        return 0

    def is_paused(self, server: str) -> bool:
        """Return ``False``."""
        return False

    def is_brittle(self, service: str) -> bool:
        """Return ``False``."""
        return False

    def room_wait_s(self, server: str, service: str, room: ServerRoom) -> float:
        """Return 0."""
        return 0

    def keep_only(self, servers: Collection[str]) -> None:
        """Do nothing."""
