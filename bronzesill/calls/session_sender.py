"""Sender of calls that are built from selected parts of a request."""

from __future__ import annotations

import asyncio

import aiohttp

from .interfaces import CallAnswer, RoutedCall
from .pass_through import send_call
from .servers import ServiceServers

__all__ = ['SessionSender']


class SessionSender:
    """
    Sends a call that was built from selected parts of the request.

    Each call uses a new connection.

    :param session: HTTP session without connection reuse.
    :param servers: provides the addresses of the servers.
    """

    def __init__(
        self, session: aiohttp.ClientSession, servers: ServiceServers
    ) -> None:
        self._session = session
        self._servers = servers

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        """Send a call on a new connection."""
        now_s = asyncio.get_running_loop().time()
        return await send_call(
            self._session,
            self._servers.address(server),
            routed.call,
            max(routed.deadline_at_s - now_s, 0),
        )
