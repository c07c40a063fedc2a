"""Detects restarted backend servers before the store lists them."""

from __future__ import annotations

import asyncio

from ..config import RegisteredServer
from ..routing import LastActivity, ServerRestart, ServerTracker
from ..upstream import (
    AnswerError,
    AnswerHead,
    ConnectionPool,
    HealthDialect,
    RequestNotSent,
    Target,
    uptime_s,
)
from .hosted_store_state import HostedStoreState

__all__ = ['CHECK_INTERVAL_S', 'RestartDetector']

#: Well below the gap between two checks that counts as a pause of the process.
CHECK_INTERVAL_S = 0.12
_PROBE_TIMEOUT_S = 0.5
_FAILURE_WINDOW_S = 2.0
_HTTP_OK = 200


class RestartDetector:
    """
    Task that probes the addresses of servers that failed recently.

    A restarted server keeps its address but has another name, with which it
    answers the health check.

    :param store_state: configuration and listed servers.
    :param tracker: state of the backend servers.
    :param pool: pool of connections to backend servers.
    :param dialect: encoding of health checks.
    :param reuse_s: seconds for which the address of an ended server is not
        given to another service.
    """

    def __init__(
        self,
        store_state: HostedStoreState,
        tracker: ServerTracker,
        pool: ConnectionPool,
        dialect: HealthDialect,
        reuse_s: float,
    ) -> None:
        self._store_state = store_state
        self._tracker = tracker
        self._pool = pool
        self._dialect = dialect
        self._activity = LastActivity(reuse_s)
        self._probing: set[str] = set()

    def record_answer(self, server: str, head: AnswerHead) -> None:
        """Record that a server answered a request."""
        self._activity = self._activity.with_activity(server, head.asked_at_s)

    def handle_other_server(self, server: str) -> None:
        """
        Handle an answer of another server at a server's address.

        If this may be a restart of the same server, its address is probed;
        otherwise the server is removed.
        """
        if self._activity.may_be_restart(server, uptime_s()):
            now_s = asyncio.get_running_loop().time()
            self._tracker.suspect(server, now_s)
        else:
            self._store_state.remove_replaced_server(server)

    async def run(self) -> None:
        """Probe the addresses of failed servers until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self._activity = self._activity.with_check(uptime_s())
                for server in self._probe_candidates():
                    group.create_task(self._probe(server))

    def _recently_failed(self) -> tuple[str, ...]:
        now_s = asyncio.get_running_loop().time()
        return self._tracker.failed_since(now_s - _FAILURE_WINDOW_S)

    def _probe_candidates(self) -> tuple[str, ...]:
        failed = self._recently_failed()
        candidates = self._activity.restart_candidates(failed, uptime_s())
        return tuple(
            server for server in candidates if server not in self._probing
        )

    async def _probe(self, server: str) -> None:
        listed = self._store_state.listing.listed_by_name.get(server)
        if listed is None:
            return
        now_s = asyncio.get_running_loop().time()
        if self._tracker.wait_s(server, now_s):
            return
        self._tracker.limiter.record_choice(server)
        self._probing.add(server)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                answering_name = await self._fetch_server_name(server, listed)
        except (AnswerError, RequestNotSent, TimeoutError):
            return
        finally:
            self._probing.discard(server)
        is_other = answering_name not in {'', server}
        if is_other and self._activity.may_be_restart(server, uptime_s()):
            self._store_state.record_restart(
                ServerRestart(server, answering_name)
            )

    async def _fetch_server_name(
        self, server: str, listed: RegisteredServer
    ) -> str:
        address = listed.server.address
        path = self._store_state.health_path(listed.server.service)
        # Pooled connections lead to the process that has ended.
        target = Target(f'next start of {server}', address)
        lease = await self._pool.acquire_direct(target)
        try:
            head = await lease.send(
                self._dialect.encode_health_check(path, address)
            )
        finally:
            lease.discard()
        return self._dialect.server(head) if head.status == _HTTP_OK else ''
