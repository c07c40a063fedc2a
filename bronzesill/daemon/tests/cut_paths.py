"""Cuts the paths between daemons and backend servers."""

from __future__ import annotations

import asyncio

from ...utils import Address
from ..hosted import HostedDaemon

__all__ = ['CutPath']

_HANGING_S = 60.0


class CutPath:
    """
    A cut between one daemon and some backend servers.

    :param daemon: the daemon that is cut off.
    :param is_silent: whether connections hang instead of being reset.
    """

    def __init__(self, daemon: HostedDaemon, *, is_silent: bool) -> None:
        self.is_active = False
        #: Connection attempts during the cut.
        self.attempts = 0
        self._pool = daemon._pool
        self._is_silent = is_silent
        self._servers: frozenset[Address] = frozenset()

    def begin(self, servers: frozenset[Address]) -> None:
        """Cut new connections to servers, and those that are open."""
        self._servers = servers
        self.is_active = True
        self._pool.direct.dialer.before_connect = self._before_connect
        for connections in self._pool._idle_by_target.values():
            for connection in connections:
                transport = connection._transport
                assert transport is not None
                if self._is_silent:
                    transport.write = lambda _: None  # type: ignore
                else:
                    transport.abort()

    def end(self) -> None:
        """Let new connections through again."""
        self.is_active = False

    async def _before_connect(self, address: Address) -> None:
        if not self.is_active or address not in self._servers:
            return
        self.attempts += 1
        if self._is_silent:
            await asyncio.sleep(_HANGING_S)
        raise ConnectionRefusedError(f'path to {address} is cut')
