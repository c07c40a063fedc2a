"""Ways in which a call reaches a server."""

from __future__ import annotations

import asyncio

import aiohttp

from ..upstream import (
    AnswerBroken,
    ConnectionPool,
    Dialect,
    ForwardRequest,
    Lease,
    NotSent,
    OnAnswerHead,
    SendPlan,
    Target,
)
from ..utils import BronzesillError, ResultCode
from .interfaces import RoutedCall
from .pass_through import CallAnswer, send_call
from .servers import ServiceServers

__all__ = ['ForwardSender', 'SessionSender']

_REPEATABLE_MAX_IDLE_S = 4.0
#: A connection that was idle for longer may have been closed unseen.
_ONCE_MAX_IDLE_S = 1.0


class SessionSender:
    """
    Sends the parts of a call that our own interface passes on.

    :param session: HTTP session that keeps no connections alive.
    :param servers: addresses of servers.
    """

    def __init__(
        self, session: aiohttp.ClientSession, servers: ServiceServers
    ) -> None:
        self._session = session
        self._servers = servers

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        """Send a call on a connection of its own."""
        now_s = asyncio.get_running_loop().time()
        return await send_call(
            self._session,
            self._servers.address(server),
            routed.call,
            max(routed.deadline_at_s - now_s, 0),
        )


class ForwardSender:
    """
    Sends a call as it came.

    :param pool: connections to servers.
    :param dialect: names and formats of headers.
    :param servers: addresses of servers.
    :param on_head: told of each answer that begins.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        servers: ServiceServers,
        on_head: OnAnswerHead,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._servers = servers
        self._on_head = on_head

    async def send(self, server: str, routed: RoutedCall) -> CallAnswer:
        """Send a call on a kept connection."""
        forward = routed.forward
        if forward is None:
            raise _not_run('not a call that is passed on')
        is_repeatable = routed.route.idempotent
        max_idle_s = (
            _REPEATABLE_MAX_IDLE_S if is_repeatable else _ONCE_MAX_IDLE_S
        )
        target = Target(server, self._servers.address(server))
        try:
            lease = await self._pool.take(target, max_idle_s=max_idle_s)
        except NotSent as error:
            self._servers.note_unreachable(server)
            raise _not_run(str(error)) from error
        try:
            return await self._exchange(lease, server, forward)
        except AnswerBroken as error:
            raise BronzesillError(
                ResultCode.CALL_OUTCOME_UNKNOWN,
                f'outcome unknown: {server}: {error}',
            ) from error
        finally:
            lease.release()

    async def _exchange(
        self, lease: Lease, server: str, forward: ForwardRequest
    ) -> CallAnswer:
        now_s = asyncio.get_running_loop().time()
        plan = SendPlan(server, forward.deadline_at_s - now_s)
        head = await lease.send(
            self._dialect.encode(forward, plan),
            is_head=forward.method == 'HEAD',
        )
        if not self._dialect.answers(head, forward):
            lease.discard()
            raise AnswerBroken('the answer belongs to another request')
        self._on_head(server, head)
        body = await _read_all(lease)
        if self._dialect.is_not_run(head):
            raise _not_run(f'{server} says {head.status}')
        kept = self._dialect.kept_answer_headers(head)
        return CallAnswer(head.status, '', body, headers=kept)


async def _read_all(lease: Lease) -> bytes:
    chunks = []
    chunk = await lease.read()
    while chunk:
        chunks.append(chunk)
        chunk = await lease.read()
    return b''.join(chunks)


def _not_run(detail: str) -> BronzesillError:
    return BronzesillError(ResultCode.CALL_NOT_RUN, f'not run: {detail}')
