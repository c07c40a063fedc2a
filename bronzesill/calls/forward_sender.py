"""Sender that forwards the original request of a call."""

from __future__ import annotations

import asyncio

from ..upstream import (
    AnswerError,
    ConnectionLease,
    ConnectionPool,
    Dialect,
    ForwardRequest,
    OnAnswerHead,
    RequestNotSent,
    SendPlan,
    Target,
)
from ..utils import BronzesillError, ResultCode
from .interfaces import CallAnswer, RoutedCall
from .servers import ServiceServers

__all__ = ['ForwardSender']

_IDEMPOTENT_MAX_IDLE_S = 4.0
#: Calls that must not be repeated use recently active connections only, unless
#: the pool goes by the timeout that the server states: the server may have
#: closed one that was idle for longer, unnoticed here.
_AT_MOST_ONCE_MAX_IDLE_S = 1.0
#: Time in seconds before the deadline at which a connection that is not open
#: is given up: an answer could hardly arrive in time.
_DEADLINE_MARGIN_S = 0.01
#: Paths to servers that cannot be reached are tried again as often.
_RETRY_AFTER_S = 0.5
#: An answer is kept in memory until it is complete.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
#: Statuses with which callers are told that their call has not run.
_NOT_RUN_STATUSES = frozenset((408, 429, 503))


class ForwardSender:
    """
    Forwards the original request on a pooled connection.

    :param pool: pool of connections to the servers.
    :param dialect: names and formats of headers.
    :param servers: provides the addresses of the servers and is notified of
        servers that cannot be reached.
    :param on_head: called with the server name and the head of each
        response.
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
        """
        Forward a request on a pooled connection.

        :raises BronzesillError: ``CALL_NOT_RUN`` if nothing was sent or
            the server did not run the call, ``CALL_OUTCOME_UNKNOWN`` for any
            other failure.
        """
        forward = routed.forward
        if forward is None:
            raise _not_run_error('the call has no request to forward')
        routed.progress.may_have_run = False
        is_idempotent = routed.route.idempotent
        lease = await self._connect(server, routed)
        try:
            answer = await self._exchange(lease, server, routed, forward)
            _check_status(answer, is_idempotent=is_idempotent)
            return answer
        except RequestNotSent as error:
            raise _not_run_error(str(error)) from error
        except AnswerError as error:
            raise BronzesillError(
                ResultCode.CALL_OUTCOME_UNKNOWN,
                f'outcome unknown: {server}: {error}',
            ) from error
        finally:
            lease.release()

    def has_connection(self, server: str, routed: RoutedCall) -> bool:
        """Return whether an idle connection may be used for a call."""
        target = Target(server, self._servers.address(server))
        return self._pool.has_idle(target, max_idle_s=_max_idle_s(routed))

    async def _connect(
        self, server: str, routed: RoutedCall
    ) -> ConnectionLease:
        target = Target(server, self._servers.address(server))
        try:
            async with asyncio.timeout_at(
                routed.deadline_at_s - _DEADLINE_MARGIN_S
            ):
                return await self._pool.acquire(
                    target, max_idle_s=_max_idle_s(routed)
                )
        except TimeoutError:
            unsent = RequestNotSent(f'{server}: no connection in time')
            raise _not_run_error(str(unsent)) from unsent
        except RequestNotSent as error:
            self._servers.note_unreachable(server)
            raise _not_run_error(str(error)) from error

    async def _exchange(
        self,
        lease: ConnectionLease,
        server: str,
        routed: RoutedCall,
        forward: ForwardRequest,
    ) -> CallAnswer:
        now_s = asyncio.get_running_loop().time()
        plan = SendPlan(
            server, forward.deadline_at_s - now_s, priority=forward.priority
        )
        request = self._dialect.encode(forward, plan)
        routed.progress.may_have_run = True
        head = await lease.send(
            request,
            is_head=forward.method == 'HEAD',
            may_give_up=routed.may_give_up,
        )
        if not self._dialect.is_answer_to(head, forward):
            lease.discard()
            raise AnswerError('the response belongs to another request')
        self._on_head(server, head)
        if head.is_encoded:
            lease.discard()
            raise AnswerError('the body is encoded, which was not asked for')
        body = await lease.read_all(_MAX_ANSWER_BYTES)
        if self._dialect.is_not_executed(head):
            raise _not_run_error(f'{server} answered {head.status}')
        response_headers = self._dialect.forwarded_answer_headers(head)
        return CallAnswer(head.status, '', body, headers=response_headers)


def _max_idle_s(routed: RoutedCall) -> float:
    if routed.route.idempotent:
        return _IDEMPOTENT_MAX_IDLE_S
    return _AT_MOST_ONCE_MAX_IDLE_S


def _check_status(answer: CallAnswer, *, is_idempotent: bool) -> None:
    """
    Reject a status that promises callers what the server has not stated.

    :raises AnswerError: the call may have run.
    """
    if not is_idempotent and answer.status in _NOT_RUN_STATUSES:
        raise AnswerError(f'status {answer.status}, but it may have run')


def _not_run_error(detail: str) -> BronzesillError:
    return BronzesillError(
        ResultCode.CALL_NOT_RUN,
        f'not run: {detail}',
        retry_after_s=_RETRY_AFTER_S,
    )
