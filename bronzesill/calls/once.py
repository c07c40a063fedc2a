"""Calls that are sent to one server after the other until one takes them."""

from __future__ import annotations

import asyncio

from ..utils import BronzesillError, ResultCode
from .interfaces import CallSender, RoutedCall
from .pass_through import CallAnswer
from .servers import ServiceServers

__all__ = ['OnceCalls']

_SERVER_ERROR = 500


class OnceCalls:
    """
    Sends calls that may run at most once.

    :param sender: sends a call to one server.
    :param servers: order of servers for a call.
    """

    def __init__(self, sender: CallSender, servers: ServiceServers) -> None:
        self._sender = sender
        self._servers = servers

    async def run(self, routed: RoutedCall) -> CallAnswer:
        """
        Send a call; try another server only if it was surely not run.

        :raises BronzesillError: ``CALL_NOT_RUN`` if no server took it,
            ``CALL_OUTCOME_UNKNOWN`` for any later failure.
        """
        refusal = BronzesillError(
            ResultCode.CALL_NOT_RUN, 'not run: no server of the service'
        )
        for name in self._servers.order(routed):
            try:
                return await self._send_to(name, routed)
            except BronzesillError as error:
                if error.code is not ResultCode.CALL_NOT_RUN:
                    raise
                refusal = error
        raise refusal

    async def _send_to(self, name: str, routed: RoutedCall) -> CallAnswer:
        loop = asyncio.get_running_loop()
        self._servers.opened(name)
        started_s = loop.time()
        is_failed = True
        try:
            async with asyncio.timeout_at(routed.deadline_at_s):
                answer = await self._sender.send(name, routed)
            is_failed = answer.status >= _SERVER_ERROR
        except TimeoutError:
            raise BronzesillError(
                ResultCode.CALL_OUTCOME_UNKNOWN,
                f'outcome unknown: {name} did not answer in time',
            ) from None
        finally:
            self._servers.closed(
                name,
                routed,
                is_failed=is_failed,
                latency_s=loop.time() - started_s,
            )
        return answer
