"""Connectors: open connections to servers, and tell who reaches them."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol, TypeVar

from ..utils import Address, PartLogger
from .answer import RequestNotSent
from .connection import UpstreamConnection
from .purposes import ConnectionCounts, Purpose

__all__ = ['Connector', 'Dialer', 'DirectConnector', 'Reach', 'Target']

ProtocolT = TypeVar('ProtocolT', bound=asyncio.Protocol)

_PROBE_TIMEOUT_S = 0.15
#: Servers of which it is noted that they cannot be reached.
_MAX_NOTED = 1000

_log = PartLogger('upstream')


@dataclasses.dataclass(frozen=True)
class Target:
    """
    One instance of a backend server; a restart creates another one.

    :param name: name of the server.
    :param address: address on which the server listens.
    """

    name: str
    address: Address


class Dialer:
    """Opens TCP connections to backend servers."""

    def __init__(self) -> None:
        #: Awaited before each connection attempt; tests cut paths here.
        self.before_connect: Callable[[Address], Awaitable[None]] = _no_wait

    async def open(
        self,
        address: Address,
        make_protocol: Callable[[], ProtocolT],
        timeout_s: float,
    ) -> ProtocolT:
        """
        Open a connection and return its protocol.

        :param address: address to connect to.
        :param make_protocol: creates the protocol of the connection.
        :param timeout_s: seconds until the attempt fails.
        :raises OSError: the connection could not be established.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            await self.before_connect(address)
            _, protocol = await loop.create_connection(
                make_protocol, address.ip, address.port
            )
        return protocol


class Reach(enum.Enum):
    """Who reaches a server."""

    DIRECT = 'direct'
    PEER = 'peer'
    NONE = 'none'


class Connector(Protocol):
    """Opens connections to servers."""

    async def connect(
        self, target: Target, timeout_s: float, purpose: Purpose = Purpose.CALL
    ) -> UpstreamConnection:
        """
        Open a connection.

        :param target: server to connect to.
        :param timeout_s: seconds until a direct attempt fails.
        :param purpose: what the connection is for.
        :raises RequestNotSent: the connection could not be established.
        """

    def may_reuse(self, target: Target, connection: UpstreamConnection) -> bool:
        """Return whether an idle connection may carry another request."""

    async def check(self, target: Target) -> Reach:
        """Find out who reaches a server."""

    async def is_cut(self, target: Target) -> bool:
        """Find out whether only another host reaches a server."""

    def is_known_cut(self, target: Target) -> bool:
        """Return whether it is known that only another host reaches it."""

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget all other servers."""

    def close(self) -> None:
        """Cancel all tasks."""


class DirectConnector:
    """Opens direct connections to servers."""

    def __init__(self) -> None:
        self.dialer = Dialer()
        #: Connection attempts so far, including failed ones.
        self.counts = ConnectionCounts()
        #: Receives connections that were opened to find out who can.
        self.on_spare: Callable[[Target, UpstreamConnection], None] = _close
        self._unreachable_since_s_by_target: dict[Target, float] = {}

    async def connect(
        self, target: Target, timeout_s: float, purpose: Purpose = Purpose.CALL
    ) -> UpstreamConnection:
        """
        Open a connection.

        :param target: server to connect to.
        :param timeout_s: seconds until the attempt fails.
        :param purpose: what the connection is for.
        :raises RequestNotSent: the connection could not be established.
        """
        self.counts.add(purpose, target.name)
        try:
            connection = await self.dialer.open(
                target.address, UpstreamConnection, timeout_s
            )
        except OSError as error:
            self._log_unreachable(target, error)
            raise RequestNotSent(f'{target.name}: {error!r}') from error
        self._log_reachable(target)
        return connection

    def may_reuse(self, target: Target, connection: UpstreamConnection) -> bool:
        """Return ``True``; nothing is known of the path."""
        return True

    async def check(self, target: Target) -> Reach:
        """Find out whether this host reaches a server."""
        try:
            connection = await self.connect(
                target, _PROBE_TIMEOUT_S, Purpose.PROBE
            )
        except RequestNotSent:
            return Reach.NONE
        self.on_spare(target, connection)
        return Reach.DIRECT

    async def is_cut(self, target: Target) -> bool:
        """Return ``False``; no other host is asked."""
        return False

    def is_known_cut(self, target: Target) -> bool:
        """Return ``False``: no other host is asked."""
        return False

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget all other servers."""
        for target in tuple(self._unreachable_since_s_by_target):
            if target.name not in servers:
                self._unreachable_since_s_by_target.pop(target)

    def close(self) -> None:
        """Do nothing; there are no tasks."""

    def _log_unreachable(self, target: Target, error: Exception) -> None:
        noted = self._unreachable_since_s_by_target
        if target in noted or len(noted) >= _MAX_NOTED:
            return
        now_s = asyncio.get_running_loop().time()
        noted[target] = now_s
        _log.event(
            'server_unreachable',
            server=target.name,
            address=str(target.address),
            error=repr(error),
        )

    def _log_reachable(self, target: Target) -> None:
        since_s = self._unreachable_since_s_by_target.pop(target, None)
        if since_s is not None:
            now_s = asyncio.get_running_loop().time()
            _log.event(
                'server_reachable',
                server=target.name,
                lasted_s=round(now_s - since_s, 3),
            )


def _close(target: Target, connection: UpstreamConnection) -> None:
    """Close a spare connection; the default of ``on_spare``."""
    connection.close()


async def _no_wait(address: Address) -> None:
    """Connect at once; the default of ``before_connect``."""
