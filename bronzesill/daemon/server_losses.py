"""Finds out whether servers ended when connections to them were lost."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from ..routing import ServerTracker
from ..upstream import ConnectionPool, ForwardRequest, Target
from ..utils import PartLogger

__all__ = ['LostRequest', 'ServerLosses']

#: Connections that a server loses together are lost within this time.
_SAME_LOSS_S = 0.5

_log = PartLogger('quarantine')


@dataclasses.dataclass(frozen=True)
class LostRequest:
    """
    A request whose connection ended before its answer.

    :param forward: the request.
    :param server: name of the server.
    :param failure_domain: failure domain of the server.
    :param began_at_s: loop time at which it was sent to the server.
    :param lost_at_s: loop time at which the connection ended.
    """

    forward: ForwardRequest
    server: str
    failure_domain: str
    began_at_s: float
    lost_at_s: float

    @property
    def lasted_s(self) -> float:
        """Seconds from sending the request to the loss."""
        return self.lost_at_s - self.began_at_s


class ServerLosses:
    """
    Asks a server for a connection when one to it was lost.

    A server may close a connection, or break off an answer, and go on.  One
    that has ended accepts no connection for a while.

    :param tracker: state of the backend servers.
    :param pool: pool of connections to backend servers.
    :param identify: returns the identity of a request, for the log.
    :param on_crash: called with each request that was on a server when it
        ended.
    """

    def __init__(
        self,
        tracker: ServerTracker,
        pool: ConnectionPool,
        identify: Callable[[ForwardRequest], str],
        on_crash: Callable[[LostRequest], None],
    ) -> None:
        self._identify = identify
        self._on_crash = on_crash
        self._tracker = tracker
        self._pool = pool
        self._checks_by_server: dict[str, asyncio.Task[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_loss(
        self, forward: ForwardRequest, server: str, lasted_s: float
    ) -> None:
        """
        Record that a connection was lost before the answer.

        :param forward: the request on it.
        :param server: name of the server.
        :param lasted_s: seconds since the request was sent.
        """
        now_s = asyncio.get_running_loop().time()
        listed = self._tracker.servers_by_name.get(server)
        lost = LostRequest(
            forward,
            server,
            listed.failure_domain if listed else '',
            now_s - lasted_s,
            now_s,
        )
        task = asyncio.create_task(self._examine(lost))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _examine(self, lost: LostRequest) -> None:
        has_ended = not await self._check(lost.server)
        _log.event(
            'server_lost',
            server=lost.server,
            has_ended=has_ended,
            request=lost.forward.request_id,
            identity=self._identify(lost.forward),
            lasted_s=round(lost.lasted_s, 3),
        )
        if has_ended:
            self._on_crash(lost)

    async def _check(self, server: str) -> bool:
        """Return whether a server accepts a connection; checks run once."""
        check = self._checks_by_server.get(server)
        if check is None:
            check = asyncio.create_task(self._probe(server))
            self._checks_by_server[server] = check
            asyncio.get_running_loop().call_later(
                _SAME_LOSS_S, self._checks_by_server.pop, server, None
            )
        return await asyncio.shield(check)

    async def _probe(self, server: str) -> bool:
        listed = self._tracker.servers_by_name.get(server)
        if listed is None:
            return False
        return await self._pool.probe(Target(server, listed.address))
