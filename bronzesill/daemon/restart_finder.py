"""Finds servers that start anew before the store tells of them."""

from __future__ import annotations

import asyncio
import time

from ..config import ListedServer
from ..routing import LastSigns, ServerBook, ServerRestart
from ..upstream import (
    AnswerBroken,
    ConnectionPool,
    HealthDialect,
    NotSent,
    Target,
)
from .hosted_knowledge import HostedKnowledge

__all__ = ['RestartFinder']

_TICK_S = 0.12
_PROBE_TIMEOUT_S = 0.5
_FAILED_WITHIN_S = 2.0
_HTTP_OK = 200


class RestartFinder:
    """
    Task that asks at the addresses of servers that failed a moment ago.

    :param knowledge: what this daemon knows.
    :param book: what is known of the backend servers.
    :param pool: connections to backend servers.
    :param dialect: words of a health check.
    :param reuse_s: seconds in which an address goes to no other service.
    """

    def __init__(
        self,
        knowledge: HostedKnowledge,
        book: ServerBook,
        pool: ConnectionPool,
        dialect: HealthDialect,
        reuse_s: float,
    ) -> None:
        self._knowledge = knowledge
        self._book = book
        self._pool = pool
        self._dialect = dialect
        self._signs = LastSigns(reuse_s)
        self._probed: set[str] = set()

    def note_sign(self, server: str) -> None:
        """Take in bytes of a server."""
        self._signs = self._signs.seen(server, _now_s())

    def note_other_server(self, server: str) -> None:
        """Take in that another server answered at a server's address."""
        if self._signs.may_follow(server, _now_s()):
            now_s = asyncio.get_running_loop().time()
            self._book.suspect(server, now_s)
        else:
            self._knowledge.note_other_server(server)

    async def run(self) -> None:
        """Ask at the addresses of servers that failed, for ever."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(_TICK_S)
                self._signs = self._signs.checked(_now_s())
                for server in self._due():
                    group.create_task(self._probe(server))

    def _due(self) -> tuple[str, ...]:
        now_s = asyncio.get_running_loop().time()
        failed = self._book.failed_since(now_s - _FAILED_WITHIN_S)
        due = self._signs.due(failed, _now_s())
        return tuple(server for server in due if server not in self._probed)

    async def _probe(self, server: str) -> None:
        listed = self._knowledge.listing.listed_by_name.get(server)
        if listed is None:
            return
        self._probed.add(server)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                answering = await self._ask(server, listed)
        except (AnswerBroken, NotSent, TimeoutError):
            return
        finally:
            self._probed.discard(server)
        is_other = answering not in {'', server}
        if is_other and self._signs.may_follow(server, _now_s()):
            self._knowledge.note_restart(ServerRestart(server, answering))

    async def _ask(self, server: str, listed: ListedServer) -> str:
        address = listed.server.address
        path = self._knowledge.health_path(listed.server.service)
        # Kept connections lead to the start that is gone.
        target = Target(f'next start of {server}', address)
        lease = await self._pool.take(target, max_idle_s=0)
        try:
            head = await lease.send(
                self._dialect.encode_health_check(path, address)
            )
        finally:
            lease.discard()
        return self._dialect.server(head) if head.status == _HTTP_OK else ''


def _now_s() -> float:
    # The loop's clock stands still while the host is suspended.
    return time.clock_gettime(time.CLOCK_BOOTTIME)
